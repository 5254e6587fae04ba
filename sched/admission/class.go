// Package admission implements admission control and weighted fair queueing of
// requests: it decides which requests are queued, which are refused and which
// start next. Capacity is measured in slots, each of which runs one request at a
// time. The package does no I/O, starts no goroutines, and takes the time as an
// argument. It is not safe for concurrent use; the caller must serialize calls
// with a lock.
package admission

import "time"

// Class identifies the queue of a kind in a department and carries the policy of
// the kind. It is sent to other VMs as JSON under these field names.
type Class struct {
	Department string
	Kind       string
	// Urgency is the priority of the kind, from 0 (lowest) to 100 (highest).
	Urgency int
	// Weight is the fair-share weight among classes of equal urgency. Values below 1
	// count as 1.
	Weight int
	// ReservePercent is the share of the slots that is reserved for this kind and
	// more urgent ones.
	ReservePercent int
	// FloorPercent is the share of the slots that is guaranteed to the kind while
	// other kinds overload the entry VM.
	FloorPercent int
	// Patience is the longest time that a request may be queued. A request that is not
	// expected to start within it is refused.
	Patience time.Duration
}

type classKey struct {
	department string
	kind       string
}

func (c Class) key() classKey { return classKey{department: c.Department, kind: c.Kind} }

func (c Class) weight() float64 { return float64(max(1, c.Weight)) }
