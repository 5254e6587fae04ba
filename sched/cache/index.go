package cache

import "rhubarbstall.example/sched/model"

// maxAccelerators bounds the number of accelerator classes. Workers with more free
// accelerators are in the last class.
const maxAccelerators = 16

// index finds usable nodes by free resources. Nodes with accelerators have separate
// classes that are searched last, so that a search that stops at the first feasible
// node takes them only if no other node fits.
type index struct {
	// classes[0] holds the nodes without accelerators, and classes[1+k] the nodes with
	// accelerators of which k are free. A class is allocated on first use.
	classes [maxAccelerators + 2]*grid
}

func acceleratorClass(n *Node) int {
	if n.Capacity.Accelerators == 0 {
		return 0
	}
	return 1 + int(min(max(n.Free().Accelerators, 0), maxAccelerators))
}

func (x *index) add(n *Node) {
	free := n.Free()
	if n.cell != nil || !n.Usable() || free.MilliCPU < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		return
	}
	k := acceleratorClass(n)
	if x.classes[k] == nil {
		x.classes[k] = &grid{}
	}
	x.classes[k].add(n)
}

func (x *index) remove(n *Node) {
	if n.cell != nil {
		x.classes[acceleratorClass(n)].remove(n, n.Free())
	}
}

// search searches the classes that may have size free, the preferred ones first.
func (x *index) search(size model.Resources, perCell, perRow int, visit func(*Node) bool) {
	first := 0
	if size.Accelerators > 0 {
		first = 1 + int(min(size.Accelerators, maxAccelerators))
	}
	for _, g := range x.classes[first:] {
		if g != nil && g.count > 0 && g.search(size, perCell, perRow, visit) {
			return
		}
	}
}
