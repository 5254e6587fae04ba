package engine

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/estimate"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// ReportUsage raises the allocations of attempts to their reported usage, and throttles
// or stops attempts that exceed their allocation on a full worker.
func (e *Engine) ReportUsage(now time.Time, worker string, usage []model.Usage) {
	now = e.monotonic(now)
	n := e.cache.Get(worker)
	if n == nil {
		return
	}
	for _, u := range usage {
		run := e.jobs.FindRun(u.Ref)
		if run == nil || run.Worker != worker {
			continue
		}
		st := stateOf(run.Job)
		st.peakUsed = st.peakUsed.Max(u.Used)
		r := estimate.RespondToUsage(run, u.Used, n.Free())
		if r.Allocation != run.Size {
			e.resize(n, run, r.Allocation)
		}
		if !r.HasAction {
			continue
		}
		switch r.Action {
		case model.ActionThrottle:
			run.Throttled = true
		case model.ActionResume:
			run.Throttled = false
		}
		e.sendControl(now, run, r.Action, r.Reason)
	}
}

func (e *Engine) resize(n *cache.Node, run *ledger.Run, size model.Resources) {
	e.removeUsage(n, run)
	e.cache.Resize(n, run, size)
	e.addUsage(n, run)
}

// sentStop is a stop or checkpoint request for an attempt that has not ended yet.
type sentStop struct {
	run     *ledger.Run
	control model.Control
	sentAt  time.Time
}

func (e *Engine) sendControl(now time.Time, run *ledger.Run, a model.Action, reason string) {
	c := model.Control{Placement: run.Placement(), Action: a, Reason: reason}
	e.controls = append(e.controls, c)
	if a == model.ActionStop || a == model.ActionCheckpoint {
		run.Stopping = true
		e.stopsSent = append(e.stopsSent, sentStop{run, c, now})
	}
}

// repeatControls sends stop requests again whose attempt has not ended after
// controlRetryInterval, and returns the time of the next repetition.
func (e *Engine) repeatControls(now time.Time) time.Time {
	kept := e.stopsSent[:0]
	var next time.Time
	for _, s := range e.stopsSent {
		if e.jobs.FindRun(s.control.Ref) != s.run {
			continue
		}
		if now.Sub(s.sentAt) >= controlRetryInterval {
			e.controls = append(e.controls, s.control)
			s.sentAt = now
		}
		next = earliest(next, s.sentAt.Add(controlRetryInterval))
		kept = append(kept, s)
	}
	clear(e.stopsSent[len(kept):])
	e.stopsSent = kept
	return next
}

// earliest returns the earlier of two times; the zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
