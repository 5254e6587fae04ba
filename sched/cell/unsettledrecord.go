package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// UnsettledStart is a start order that a runner may still carry out, in the record for the next scheduler.
type UnsettledStart struct {
	Task      TaskRef
	Execution int64
	Runner    string
	// Closed tells that the execution was stopped or has ended on the runner.
	Closed bool
	// ClientAccount is the account that a run of the order counts for, empty for none, and Size how much it counts.
	ClientAccount string
	Size          model.Resources
}

// UnsettledVersion changes with the set of start orders that may still be carried out, those under way included: if this
// process ends now, the next scheduler has to know of them.
func (c *Cell) UnsettledVersion() int { return c.unsettledVersion }

// UnsettledCount returns the number of tasks with start orders that may still be carried out.
func (c *Cell) UnsettledCount() int { return len(c.unsettled) }

// UnsettledStarts returns start orders that may still be carried out, at most limit, those without an answer first.
func (c *Cell) UnsettledStarts(limit int) []UnsettledStart {
	var unanswered, underWay []UnsettledStart
	for _, started := range c.unsettled {
		for _, u := range started {
			x := UnsettledStart{Task: u.key.task, Execution: u.key.execution, Runner: u.runner, Closed: u.closed}
			if u.account != nil {
				x.ClientAccount, x.Size = u.account.Name, u.size
			}
			if u.underWay {
				underWay = append(underWay, x)
			} else {
				unanswered = append(unanswered, x)
			}
		}
	}
	all := append(unanswered, underWay...)
	return all[:min(limit, len(all))]
}

// AdoptUnsettledStarts adds the start orders of earlier schedulers that may still be carried out. How long ago they were
// sent is not known.
func (c *Cell) AdoptUnsettledStarts(now time.Time, starts []UnsettledStart) {
	if len(starts) == 0 {
		return
	}
	for _, x := range starts {
		// The record may stand for several orders.
		c.addUnsettled(&unsettledStart{
			runner: x.Runner, key: runKey{x.Task, x.Execution}, sentAt: now, arrivesUntil: now.Add(c.cfg.LateCallLimit), repeated: true, closed: x.Closed,
			account: c.accountNamed(x.ClientAccount), size: x.Size, group: c.groupOf(x.Task),
		})
	}
	c.unsettledVersion++
}
