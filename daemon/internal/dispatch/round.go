package dispatch

import (
	"context"
	"sort"
	"time"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// maxRoundInterval is the longest time between two decision rounds.
const maxRoundInterval = time.Second

// runRound runs one decision round and returns the time until the next one.
func (d *Dispatcher) runRound(ctx context.Context) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.cfg.Leadership.HasQuorum() {
		return maxRoundInterval
	}
	now := time.Now()
	if p, rev := d.cfg.Policies(); p != nil && (!d.hasPolicy || rev != d.policyRevision) {
		d.engine.SetPolicies(now, p)
		d.hasPolicy, d.policyRevision = true, rev
	}
	decisions := d.engine.Decide(now, maxStartsPerRound)
	d.metrics.round(ctx, time.Since(now), len(decisions.Starts))
	touched := d.linksToSend
	d.linksToSend = make(map[*link]bool)
	for i := range decisions.Starts {
		s := &decisions.Starts[i]
		l, ok := d.links[s.Worker]
		if !ok {
			d.engine.Refused(now, s.Ref)
			continue
		}
		a := &attempt{Placement: s.Placement, phase: queued, kind: s.Kind, waited: s.Waited, decidedAt: now}
		d.track(l, a)
		l.queue = append(l.queue, a)
		touched[l] = true
	}
	for i := range decisions.Controls {
		c := &decisions.Controls[i]
		if l, ok := d.links[c.Worker]; ok {
			d.requestAction(l, c.Ref, fromAction(c.Action))
			touched[l] = true
		}
	}
	for l := range touched {
		d.startSender(l)
		d.sendActions(l)
	}
	if len(decisions.Starts) == maxStartsPerRound {
		return time.Millisecond
	}
	if decisions.WakeAt.IsZero() {
		return maxRoundInterval
	}
	return min(maxRoundInterval, max(time.Millisecond, decisions.WakeAt.Sub(now)))
}

// requestAction sets the action that a worker has to carry out on an attempt.
func (d *Dispatcher) requestAction(l *link, ref model.TaskRef, action wire.Action) {
	a, ok := l.attempts[ref]
	if !ok {
		return
	}
	if a.phase == queued && action == wire.ActionStop {
		// Nothing was sent yet. The sender drops the attempt when it sees the action.
		a.requestedAction = action
		return
	}
	a.requestedAction, a.actionPending = action, true
}

// sortedAttempts returns the attempts of a link in a fixed order, so that decisions
// are reproducible.
func sortedAttempts(l *link) []*attempt {
	list := make([]*attempt, 0, len(l.attempts))
	for _, a := range l.attempts {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		x, y := list[i].Ref, list[j].Ref
		if x.Job != y.Job {
			return x.Job < y.Job
		}
		if x.Index != y.Index {
			return x.Index < y.Index
		}
		return x.Attempt < y.Attempt
	})
	return list
}
