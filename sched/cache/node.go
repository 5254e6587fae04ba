package cache

import (
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Node is a worker with its attempts and allocations.
type Node struct {
	model.Worker
	Allocated model.Resources
	Runs      []*ledger.Run
	// Registered is false for a worker that was removed, or not reported yet, while
	// attempts on it are recorded.
	Registered bool
	// Quarantined excludes the worker from placement because of repeated failures.
	Quarantined bool
	// Probing allows a quarantined worker to take one task.
	Probing bool
	// NonUrgentAllocated is the amount allocated to tasks that are not urgent, and
	// UrgentReserve the part of the capacity that they may not use.
	NonUrgentAllocated model.Resources
	UrgentReserve      model.Resources
	// Reservation reserves free resources for one job; nil if there is none.
	Reservation *Reservation
	rack        *Rack
	// cell is the grid cell of the node, and cellIndex its position in the cell: nil
	// and -1 if the node is not indexed.
	cell      *gridCell
	cellIndex int32
}

// Free returns the resources that are not allocated. A component can be negative
// after an attempt was adopted or the capacity was reduced.
func (n *Node) Free() model.Resources { return n.Capacity.Sub(n.Allocated) }

// RackOf returns the rack of the node, nil if the worker was never reported.
func (n *Node) RackOf() *Rack { return n.rack }

// Usable reports whether the node may take new tasks.
func (n *Node) Usable() bool {
	if !n.Registered || n.State != model.WorkerLive {
		return false
	}
	return !n.Quarantined || n.Probing && len(n.Runs) == 0
}

// Idle reports whether no attempts are recorded on the node.
func (n *Node) Idle() bool { return len(n.Runs) == 0 }
