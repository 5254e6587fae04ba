// Package admission decides which requests wait, which are refused and which
// start next. It does no I/O, starts no goroutines, and takes the time as an
// argument. It is not safe for concurrent use; the caller holds a lock.
package admission

import "time"

// Class identifies a queue and carries the policy of its kind of work.
type Class struct {
	Department string
	Kind       string
	// Urgency is 0 for the most patient work and 100 for the most urgent.
	Urgency int
	// Weight is the share among the classes of equal urgency; below 1 counts as 1.
	Weight int
	// ReservePercent is the share of slots that only this kind and more urgent
	// ones may use.
	ReservePercent int
	// FloorPercent is the share of slots that the kind keeps while others flood.
	FloorPercent int
	// Patience is how long a request may wait before it starts.
	Patience time.Duration
}

type classKey struct {
	department string
	kind       string
}

func (c Class) key() classKey { return classKey{department: c.Department, kind: c.Kind} }

func (c Class) weight() float64 { return float64(max(1, c.Weight)) }
