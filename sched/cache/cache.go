package cache

import (
	"slices"
	"strings"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Cache holds the workers of a zone and the resources allocated on them.
type Cache struct {
	nodes       []*Node
	nodesByID   map[string]*Node
	racks       []*Rack
	racksByName map[string]*Rack
	index       index
	capacity    model.Resources
	allocated   model.Resources
	workerCount int
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{nodesByID: map[string]*Node{}, racksByName: map[string]*Rack{}}
}

// Get returns the node of a worker, nil if it is unknown.
func (c *Cache) Get(id string) *Node { return c.nodesByID[id] }

// GetOrCreate returns the node of a worker, and adds an unregistered one if it is
// unknown. Attempts can be found on a worker before the worker itself is reported.
func (c *Cache) GetOrCreate(id string) *Node {
	if n := c.nodesByID[id]; n != nil {
		return n
	}
	n := &Node{Worker: model.Worker{ID: id}, cellIndex: -1}
	c.nodesByID[id] = n
	at, _ := slices.BinarySearchFunc(c.nodes, id, func(n *Node, id string) int { return strings.Compare(n.ID, id) })
	c.nodes = slices.Insert(c.nodes, at, n)
	return n
}

// Upsert adds a worker or changes its capacity, rack or state.
func (c *Cache) Upsert(w model.Worker) *Node {
	n := c.GetOrCreate(w.ID)
	c.index.remove(n)
	if n.Registered {
		c.capacity = c.capacity.Sub(n.Capacity)
	} else {
		c.workerCount++
	}
	if n.rack == nil || n.rack.Name != w.Rack {
		c.leaveRack(n)
		c.joinRack(n, w.Rack)
	}
	n.Worker, n.Registered = w, true
	c.capacity = c.capacity.Add(w.Capacity)
	c.index.add(n)
	return n
}

// Remove unregisters a worker. Its node stays until its attempts have ended.
func (c *Cache) Remove(id string) {
	n := c.nodesByID[id]
	if n == nil || !n.Registered {
		return
	}
	c.index.remove(n)
	c.capacity = c.capacity.Sub(n.Capacity)
	c.workerCount--
	n.Registered, n.Reservation = false, nil
	c.removeIfUnused(n)
}

func (c *Cache) removeIfUnused(n *Node) {
	if n.Registered || !n.Idle() {
		return
	}
	c.leaveRack(n)
	delete(c.nodesByID, n.ID)
	if at, ok := slices.BinarySearchFunc(c.nodes, n.ID, func(n *Node, id string) int { return strings.Compare(n.ID, id) }); ok {
		c.nodes = slices.Delete(c.nodes, at, at+1)
	}
}

func (c *Cache) joinRack(n *Node, name string) {
	r := c.racksByName[name]
	if r == nil {
		r = &Rack{Name: name, Order: len(c.racks)}
		c.racksByName[name] = r
		c.racks = append(c.racks, r)
	}
	n.rack = r
	r.Nodes = append(r.Nodes, n)
}

func (c *Cache) leaveRack(n *Node) {
	if n.rack != nil {
		n.rack.Nodes = slices.DeleteFunc(n.rack.Nodes, func(o *Node) bool { return o == n })
		n.rack = nil
	}
}

// Attach allocates the resources of an attempt.
func (c *Cache) Attach(n *Node, r *ledger.Run) {
	c.index.remove(n)
	r.WorkerRunIndex = int32(len(n.Runs))
	n.Runs = append(n.Runs, r)
	n.Allocated = n.Allocated.Add(r.Size)
	c.allocated = c.allocated.Add(r.Size)
	c.index.add(n)
}

// Detach releases the resources of an attempt.
func (c *Cache) Detach(n *Node, r *ledger.Run) {
	c.index.remove(n)
	last := n.Runs[len(n.Runs)-1]
	n.Runs[r.WorkerRunIndex] = last
	last.WorkerRunIndex = r.WorkerRunIndex
	n.Runs[len(n.Runs)-1] = nil
	n.Runs = n.Runs[:len(n.Runs)-1]
	n.Allocated = n.Allocated.Sub(r.Size)
	c.allocated = c.allocated.Sub(r.Size)
	c.index.add(n)
	c.removeIfUnused(n)
}

// Resize changes the allocation of an attempt.
func (c *Cache) Resize(n *Node, r *ledger.Run, size model.Resources) {
	c.index.remove(n)
	delta := size.Sub(r.Size)
	r.Size = size
	n.Allocated = n.Allocated.Add(delta)
	c.allocated = c.allocated.Add(delta)
	c.index.add(n)
}

// Reindex updates the index. It must be called after a change of a field that
// Node.Usable reads.
func (c *Cache) Reindex(n *Node) {
	c.index.remove(n)
	c.index.add(n)
}

// Nodes returns the nodes in order of ID. The caller must not change the slice.
func (c *Cache) Nodes() []*Node { return c.nodes }

// Racks returns the racks in order of first appearance.
func (c *Cache) Racks() []*Rack { return c.racks }

// WorkerCount returns the number of registered workers.
func (c *Cache) WorkerCount() int { return c.workerCount }

// Capacity returns the total capacity of the registered workers.
func (c *Cache) Capacity() model.Resources { return c.capacity }

// Allocated returns the resources allocated on all nodes.
func (c *Cache) Allocated() model.Resources { return c.allocated }

// Search calls visit for usable nodes that may have size free, until visit returns
// false. Nodes without accelerators come first, if size needs none, then those with the
// fewest free accelerators. Nodes whose free processor time and memory are in the same
// pair of buckets form a cell, and cells with the same bucket of processor time form a
// row. Rows, and the cells of a row, are visited in order of increasing free resources,
// at most perCell nodes of a cell and perRow cells of a row.
func (c *Cache) Search(size model.Resources, perCell, perRow int, visit func(*Node) bool) {
	c.index.search(size, perCell, perRow, visit)
}

// Workers returns the registered workers in order of ID.
func (c *Cache) Workers() []model.Worker {
	out := make([]model.Worker, 0, c.workerCount)
	for _, n := range c.nodes {
		if n.Registered {
			out = append(out, n.Worker)
		}
	}
	return out
}
