package quota

import (
	"strings"

	"rhubarbstall.example/sched/model"
)

// Tree is the tree of departments.
type Tree struct {
	nodes map[string]*Node
	// inOrder holds the nodes in order of creation.
	inOrder  []*Node
	capacity model.Resources
}

// NewTree returns a tree without departments.
func NewTree() *Tree { return &Tree{nodes: map[string]*Node{}} }

// Configure sets weights and quotas. Departments that are no longer listed keep their
// usage; their weight is 1 and they have no quota.
func (t *Tree) Configure(departments []model.Department) {
	for _, n := range t.inOrder {
		n.Weight, n.Quota = 1, model.Resources{}
	}
	for _, d := range departments {
		n := t.Node(d.Path)
		n.Weight, n.Quota = max(d.Weight, 1), d.Quota
	}
	t.updateAllShares()
}

// SetCapacity sets the total capacity that shares are relative to.
func (t *Tree) SetCapacity(capacity model.Resources) {
	if capacity != t.capacity {
		t.capacity = capacity
		t.updateAllShares()
	}
}

func (t *Tree) updateAllShares() {
	for _, n := range t.inOrder {
		n.updateShares(t.capacity)
	}
}

// Node returns the node of a department path. It creates the node and its ancestors
// if they don't exist.
func (t *Tree) Node(path string) *Node {
	if n := t.nodes[path]; n != nil {
		return n
	}
	n := &Node{Path: path, Weight: 1}
	if slash := strings.LastIndexByte(path, '/'); slash > 0 {
		n.lineage = append(n.lineage, t.Node(path[:slash]).lineage...)
	}
	n.lineage = append(n.lineage, n)
	t.nodes[path] = n
	t.inOrder = append(t.inOrder, n)
	return n
}

// AddUsage adds an amount to the usage of a department and its ancestors. A negative
// amount releases resources.
func (t *Tree) AddUsage(n *Node, amount model.Resources) {
	n.OwnUsage = n.OwnUsage.Add(amount)
	for _, a := range n.lineage {
		a.Usage = a.Usage.Add(amount)
		a.updateShares(t.capacity)
	}
}
