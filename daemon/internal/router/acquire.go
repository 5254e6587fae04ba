package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/sched/admission"
)

// maxWaitWithoutTarget bounds the queueing time of a request while no runner
// and no other entry VM is available. It covers a short outage such as a restart.
const maxWaitWithoutTarget = time.Second

// acquire waits for a runner slot or a peer that takes the call. Every error it
// returns means that the request was not run.
func (r *Router) acquire(ctx context.Context, c *call) (grant, error) {
	r.mu.Lock()
	now := r.now()
	if c.requeued {
		c.requeued = false
		r.mu.Unlock()
		return r.waitForGrant(ctx, c)
	}
	if c.ticket != nil {
		// A retry was admitted before, so it keeps its place in the queue.
		r.admission.Readmit(now, c.ticket)
		r.dispatchQueued(now)
		r.mu.Unlock()
		return r.waitForGrant(ctx, c)
	}
	startBy := c.startBy
	if r.hasNoTarget(now) && startBy.After(now.Add(maxWaitWithoutTarget)) {
		startBy = now.Add(maxWaitWithoutTarget)
	}
	t, refusal := r.admission.Admit(now, c.class, startBy, len(c.body))
	if refusal != nil {
		p := r.overflow(c, refusal)
		if p != nil {
			g := grant{peer: p, member: p.member, overflow: true, mayQueue: true}
			r.mu.Unlock()
			return g, nil
		}
		r.mu.Unlock()
		r.metrics.recordRefusal(ctx, c.class.Kind)
		return grant{}, refusalError(refusal)
	}
	c.ticket = t
	t.Value = c
	r.dispatchQueued(now)
	r.mu.Unlock()
	return r.waitForGrant(ctx, c)
}

// waitForGrant blocks until the ticket of the call is started or expires, or
// until ctx ends.
func (r *Router) waitForGrant(ctx context.Context, c *call) (grant, error) {
	select {
	case g := <-c.grant:
		return r.checkGrant(ctx, g)
	case <-ctx.Done():
	}
	r.mu.Lock()
	cancelled := r.admission.Cancel(r.now(), c.ticket)
	r.mu.Unlock()
	if cancelled {
		return grant{}, waitError(ctx)
	}
	// The ticket was started or expired before Cancel, so its grant is in the
	// channel.
	g := <-c.grant
	if !g.expired {
		r.finishAttempt(c, g, result{})
	}
	return grant{}, waitError(ctx)
}

// overflow returns an entry VM of another zone for a call that admission refused
// in this zone, or nil. It tries at most one entry VM for each call.
func (r *Router) overflow(c *call, refusal *admission.Refusal) *peerState {
	if c.hops > 0 || c.refusal != nil {
		return nil
	}
	p := r.pickPeer(c, true)
	if p != nil {
		c.refusal = refusal
	}
	return p
}

// hasNoTarget reports whether no runner and no other entry VM can take a request.
func (r *Router) hasNoTarget(now time.Time) bool {
	own, _ := r.ownCapacity(now)
	return own == 0 && r.remoteFreeSlots(own) == 0
}

func (r *Router) checkGrant(ctx context.Context, g grant) (grant, error) {
	if g.expired {
		r.mu.Lock()
		none := r.hasNoTarget(r.now())
		r.mu.Unlock()
		if none {
			return grant{}, codes.NoUpstream.With("no upstream can take the request",
				codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(time.Second))
		}
		return grant{}, waitError(ctx)
	}
	return g, nil
}

func waitError(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return codes.CallerGone.With("the caller cancelled the request while it was queued", codes.WithOutcome(codes.OutcomeNotRun))
	}
	return codes.WaitedTooLong.With("the time limit for waiting in the queue is exceeded; the request was not run",
		codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(250*time.Millisecond))
}

func refusalError(refusal *admission.Refusal) error {
	code := codes.QueueFull
	if refusal.Reason == admission.TooManyClasses {
		code = codes.TooManyRequests
	}
	return code.With(refusal.Error(), codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(refusal.RetryAfter))
}

// finishAttempt releases the slot or the forward of an attempt and dispatches
// queued calls.
func (r *Router) finishAttempt(c *call, g grant, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	o := res.outcome()
	if !g.overflow {
		r.admission.Finish(now, c.ticket, o == Answered)
	}
	if g.peer != nil {
		g.peer.inFlight--
	} else {
		r.releaseUpstream(now, c, g, o, res)
	}
	r.dispatchQueued(now)
}

func (r *Router) releaseUpstream(now time.Time, c *call, g grant, o Outcome, res result) {
	u := g.upstream
	if f, ok := u.health.inFlight[g.attemptID]; ok && o == Answered {
		r.updateTypicalDuration(c.class.Kind, now.Sub(f.sentAt))
	}
	ejected := u.health.ejected()
	if o == NotRun && !res.mayHaveSent && !res.connectFailed {
		u.health.recordNotSent(g.attemptID)
	} else {
		u.health.recordEnd(now, g.attemptID, o, res.connectFailed)
	}
	if ejected != u.health.ejected() {
		r.logEjection(u, ejected, res.err)
	}
	u.release(now, g.slot, res.mayStillRun)
	if res.runnerLeaving && !u.leaving.announced {
		u.leaving.recordAnnouncement(now)
		r.log.Info("[router] runner announced that it is leaving; it gets no new requests", zap.String("runner", u.id))
	}
}

func (r *Router) logEjection(u *upstream, wasEjected bool, err error) {
	if wasEjected {
		r.log.Info("[router] ejected runner recovered; it gets new requests", zap.String("runner", u.id))
		return
	}
	r.log.Warn("[router] runner ejected after failures; it gets no new requests until a probe is answered",
		zap.String("runner", u.id), zap.Error(err))
}

// updateTypicalDuration updates the exponential moving average of the run time of a
// kind on a runner, in which the newest sample has a weight of 1/16.
func (r *Router) updateTypicalDuration(kind string, took time.Duration) {
	known, ok := r.typicalDurations[kind]
	if !ok {
		if len(r.typicalDurations) >= maxPolicies {
			clear(r.typicalDurations)
		}
		r.typicalDurations[kind] = took
		return
	}
	r.typicalDurations[kind] = known + (took-known)/16
}

// requeueRefusedForward handles a forward that the peer refused or that was not
// sent. It puts the call back at the head of its queue, except after an overflow
// forward, whose call has no ticket, and records the urgency that was refused. If
// the forward was not sent, it also resets the peer's credit.
func (r *Router) requeueRefusedForward(c *call, g grant, notSent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if notSent {
		g.peer.credit = 0
	}
	g.peer.refusedUrgency = max(g.peer.refusedUrgency, c.class.Urgency)
	g.peer.inFlight--
	c.refusedForwards++
	if !g.overflow {
		c.requeued = true
		r.admission.Requeue(now, c.ticket)
	}
	r.dispatchQueued(now)
}
