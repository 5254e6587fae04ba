package ledger

import "rhubarbstall.example/sched/model"

// Outbox queues starts that the engine has decided but not yet returned to its
// caller, because a gang may have more tasks than one round may start.
type Outbox struct {
	starts []model.Start
}

// Len returns the number of queued starts.
func (o *Outbox) Len() int { return len(o.starts) }

// Put adds the start of an attempt.
func (o *Outbox) Put(run *Run, s model.Start) {
	run.Unsent = true
	o.starts = append(o.starts, s)
}

// TakeUsable removes and returns at most limit starts whose attempts still exist.
// Attempts for which isUsable returns false are not returned but passed to reject.
func (o *Outbox) TakeUsable(jt *JobTable, limit int, isUsable func(*Run) bool, reject func(*Run)) []model.Start {
	var out []model.Start
	next := 0
	for ; next < len(o.starts) && len(out) < limit; next++ {
		run := jt.FindRun(o.starts[next].Ref)
		if run == nil || !run.Unsent {
			continue
		}
		if !isUsable(run) {
			reject(run)
			continue
		}
		run.Unsent = false
		out = append(out, o.starts[next])
	}
	o.starts = o.starts[next:]
	if len(o.starts) == 0 {
		o.starts = nil
	}
	return out
}
