package cellrunner

import (
	"fmt"
	"time"
)

// delayedCall is a call that gets no answer and is executed later.
type delayedCall struct {
	path        string
	order       order
	incarnation time.Time
	receivedAt  time.Time
	// refusedBefore tells that the call is a start which an incarnation that has ended would have refused.
	refusedBefore bool
	// callerLost tells that the scheduler was lost before it could tell anybody that the call got no answer.
	callerLost bool
}

// delay executes a call after some time, also if the runner has restarted by then: a call names the runner and
// not its incarnation.
func (r *Runner) delay(d time.Duration, path string, o order) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &delayedCall{path: path, order: o, incarnation: r.startedAt, receivedAt: time.Now()}
	r.delayed[c] = true
	time.AfterFunc(d, func() { r.executeLate(c) })
}

// noteRefusals records, as an incarnation ends, which late starts it would have refused: a scheduler may have made
// sure of that, and started the task elsewhere.
func (r *Runner) noteRefusals() {
	for c := range r.delayed {
		if c.path == "/-/run-start" && (r.hasSeenHigherToken(c.order) || r.knowsLaterExecution(c.order)) {
			c.refusedBefore = true
		}
	}
}

// CallerLost records that the scheduler is lost. It had told nobody yet that calls of the last moments, no longer ago than
// within, got no answer.
func (f *Fleet) CallerLost(within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		for c := range r.delayed {
			if time.Since(c.receivedAt) <= within {
				c.callerLost = true
			}
		}
	}
}

// executeLate executes a delayed call unless the runner is gone. A later incarnation leaves out a start of a lost
// scheduler that an earlier one would have refused, unless Faults.RefusedStarts is set: the next scheduler cannot know of
// it, but by waiting as long as calls are delayed at most before it starts a task again.
func (r *Runner) executeLate(c *delayedCall) {
	f := r.fleet
	f.mu.Lock()
	delete(r.delayed, c)
	removed, restarted := r.removed, !r.startedAt.Equal(c.incarnation)
	leftOut := c.refusedBefore && c.callerLost && !f.faults.RefusedStarts
	f.mu.Unlock()
	if removed || leftOut {
		return
	}
	status, _ := r.execute(c.path, c.order)
	if restarted {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lateCalls = append(f.lateCalls, fmt.Sprintf("%s %s %s#%d last_seen %d token %d at %s: status %d",
			timeOfDay(time.Now()), c.path, c.order.Task, c.order.Execution, c.order.LastSeen, c.order.FencingToken, r.ID, status))
	}
}
