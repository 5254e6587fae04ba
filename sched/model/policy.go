package model

import "time"

// Sacrifice lists how running tasks of a kind may be disrupted in favour of other
// tasks. It corresponds to the setting "sacrifice".
type Sacrifice struct {
	// Checkpoint allows stopping a task after saving a checkpoint, from which it
	// continues later.
	Checkpoint bool
	// Preempt allows stopping a task without a checkpoint; it starts again from the
	// beginning.
	Preempt bool
	// Throttle allows slowing a task down.
	Throttle bool
	// Drop allows stopping a task without another attempt.
	Drop bool
}

// Policy is the effective policy of a kind of work in a department.
type Policy struct {
	// Urgency is the priority of the kind, from 0 (lowest) to 100 (highest).
	Urgency int
	// Patience is how long a task may wait before its start counts as late.
	Patience time.Duration
	// FloorPercent is the share of the capacity that is guaranteed to the kind while
	// other kinds overload the zone.
	FloorPercent int
	Sacrifice    Sacrifice
	// MaxAttempts bounds the attempts of a task that fails. It is at least 1.
	MaxAttempts int
	// Backoff is the delay before the second attempt. It doubles with each further
	// attempt.
	Backoff time.Duration
	// SpreadRacks places the tasks of one job on as many racks as possible.
	SpreadRacks bool
}

// Department is a node of the quota tree.
type Department struct {
	// Path consists of the names of the ancestors and the node, separated by slashes.
	Path string
	// Weight is the fair-share weight among siblings. It is at least 1.
	Weight int
	// Quota is the guaranteed amount. Usage beyond it is borrowed: such tasks start
	// after those within quota and are preempted first. A zero component is unlimited.
	Quota Resources
}

// Policies is the part of the settings that an engine uses.
type Policies interface {
	// Policy returns the effective policy of a kind; false if the kind is unknown in
	// the department.
	Policy(department, kind string) (Policy, bool)
	// Departments returns all departments, parents before children.
	Departments() []Department
}
