package plugins

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
)

// RackSpread spreads the tasks of a job over as many racks as possible. The number
// of tasks on the rack weighs more than the free resources of the worker.
type RackSpread struct{}

// Score implements framework.Score.
func (RackSpread) Score(t *framework.Task, n *cache.Node) float64 {
	if t.TasksByRack == nil {
		return 0
	}
	free := n.Free()
	freeShare := min(share(free.MilliCPU, n.Capacity.MilliCPU), share(free.MemoryMB, n.Capacity.MemoryMB))
	return freeShare - 10*float64(t.TasksByRack[n.RackOf()])
}

// Reserve implements framework.Reserve.
func (RackSpread) Reserve(t *framework.Task, n *cache.Node) {
	if t.TasksByRack != nil && n.RackOf() != nil {
		t.TasksByRack[n.RackOf()]++
	}
}

// Release implements framework.Reserve.
func (RackSpread) Release(t *framework.Task, n *cache.Node) {
	r := n.RackOf()
	if t.TasksByRack == nil || r == nil {
		return
	}
	if t.TasksByRack[r]--; t.TasksByRack[r] <= 0 {
		delete(t.TasksByRack, r)
	}
}
