package model

import "time"

// Sacrifice says what may be done to running work for the sake of other work.
type Sacrifice struct {
	// Checkpoint allows saving progress and stopping; the task continues later.
	Checkpoint bool
	// Preempt allows stopping without saved progress; the task runs again.
	Preempt bool
	// Throttle allows slowing down.
	Throttle bool
	// Drop allows ending the task for good.
	Drop bool
}

// Policy is the effective policy of a kind of work in a department.
type Policy struct {
	// Urgency orders kinds: 0 is the most patient, 100 the most urgent.
	Urgency int
	// Patience is the time that work may wait before its start counts as late.
	Patience time.Duration
	// FloorPercent is the share of the capacity that the kind keeps while other
	// kinds flood.
	FloorPercent int
	Sacrifice    Sacrifice
	// MaxAttempts bounds the attempts of a task that fails; at least 1.
	MaxAttempts int
	// Backoff is the delay before the second attempt; it doubles with each one.
	Backoff time.Duration
	// SpreadRacks places the tasks of one job on as many racks as possible.
	SpreadRacks bool
}

// Department is a node of the quota tree.
type Department struct {
	// Path names the node and its ancestors, separated by slashes.
	Path string
	// Weight is the share among siblings; at least 1.
	Weight int
	// Quota is what the node is entitled to. Use beyond it is borrowed: it is
	// served last and reclaimed first. A zero component is unlimited.
	Quota Resources
}

// Policies is the part of the settings that an engine uses.
type Policies interface {
	// Policy returns the effective policy, and false if the kind is unknown there.
	Policy(department, kind string) (Policy, bool)
	// Departments returns every node, parents before children.
	Departments() []Department
}
