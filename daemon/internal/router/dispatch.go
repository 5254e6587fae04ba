package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbstall.example/sched/admission"
)

// maxSkippedLocal bounds the calls that one pass of dispatchLocal skips because
// no runner suits them, for example a no-repeat request when only an ejected
// runner that is due for a probe is free.
const maxSkippedLocal = 32

// maxSkippedForwards bounds the calls that one pass of dispatchForwards skips.
// Forwards are tried in order of urgency, and a peer that refused one urgency
// also refuses lower ones.
const maxSkippedForwards = 4

// maxRefusedForwards is the number of refused forwards after which a call waits
// for a slot of this entry VM, so that outdated reports do not cause endless
// forwarding.
const maxRefusedForwards = 3

// dispatchQueued dispatches every queued call that is due and has a target. r.mu
// must be held.
//
// Only the slots of this entry VM count as capacity, so that its reserves hold
// whatever its peers report. The remaining calls are forwarded to peers with
// free slots.
func (r *Router) dispatchQueued(now time.Time) {
	skipped := r.dispatchLocal(now)
	skipped = r.dispatchForwards(now, skipped)
	for _, t := range slices.Backward(skipped) {
		r.admission.Requeue(now, t)
	}
	r.setCapacity(now)
	r.notifyIdle()
}

func (r *Router) setCapacity(now time.Time) (free, remote int) {
	own, free := r.ownCapacity(now)
	remote = r.remoteFreeSlots(own)
	r.admission.SetCapacity(now, r.admission.Running()+free)
	r.admission.SetRemoteCapacity(remote)
	return free, remote
}

func (r *Router) dispatchLocal(now time.Time) (skipped []*admission.Ticket) {
	for len(skipped) < maxSkippedLocal {
		if free, _ := r.setCapacity(now); free == 0 {
			break
		}
		t := r.admission.StartNext(now, r.expire)
		if t == nil {
			break
		}
		c := t.Value.(*call)
		if u := r.pickUpstream(now, c); u != nil {
			c.grant <- r.reserveSlot(now, u, c)
			continue
		}
		skipped = append(skipped, t)
	}
	return skipped
}

func (r *Router) dispatchForwards(now time.Time, skipped []*admission.Ticket) []*admission.Ticket {
	for skippedCount := 0; skippedCount < maxSkippedForwards; {
		own, _ := r.ownCapacity(now)
		if r.remoteFreeSlots(own) == 0 {
			break
		}
		t := r.admission.StartNextRemote(now, r.expire)
		if t == nil {
			break
		}
		c := t.Value.(*call)
		g, ok := r.pickForward(c, own)
		if !ok {
			skipped = append(skipped, t)
			skippedCount++
			continue
		}
		c.grant <- g
	}
	return skipped
}

func (r *Router) expire(t *admission.Ticket) {
	t.Value.(*call).grant <- grant{expired: true}
}

// ownCapacity returns the number of requests that this entry VM can run on its own
// slots, including those that are busy now, and how many more it can start now.
// Busy slots also count on runners that are leaving or ejected.
func (r *Router) ownCapacity(now time.Time) (own, free int) {
	for _, u := range r.upstreams {
		n := u.availableSlots(now)
		free += n
		own += n + u.busySlots()
	}
	return own, free
}

// pickForward chooses the entry VM to which a call is forwarded: a peer of this zone
// with free slots or, if this entry VM has no slots, the peer of this zone with the
// shortest queue. A peer of another zone is chosen only if this zone has no runner
// that takes work or none of its peers takes more forwards.
func (r *Router) pickForward(c *call, own int) (grant, bool) {
	if c.hops >= maxHops || c.refusedForwards >= maxRefusedForwards {
		return grant{}, false
	}
	if p := r.pickPeer(c, false); p != nil {
		return grant{peer: p, member: p.member}, true
	}
	if own > 0 || c.hops > 0 {
		return grant{}, false
	}
	if r.zoneHasRunners() {
		if p := r.pickPeerWithShortestQueue(); p != nil {
			return grant{peer: p, member: p.member, mayQueue: true}, true
		}
	}
	if p := r.pickPeer(c, true); p != nil {
		return grant{peer: p, member: p.member, mayQueue: true}, true
	}
	return grant{}, false
}

// pickUpstream returns the better of two random runners with a free slot, or
// nil. It prefers runners to which this request has not been sent. An ejected
// runner that is due for a probe takes precedence if the call may be used as a
// probe.
func (r *Router) pickUpstream(now time.Time, c *call) *upstream {
	untried, tried := make([]*upstream, 0, len(r.upstreams)), []*upstream(nil)
	var probe *upstream
	for _, u := range r.upstreams {
		switch {
		case u.availableSlots(now) == 0:
		case u.health.ejected():
			if !c.triedRunners[u.id] && u.health.mayProbe(now, c.noRepeat) {
				probe = u
			}
		case c.triedRunners[u.id]:
			tried = append(tried, u)
		default:
			untried = append(untried, u)
		}
	}
	if probe != nil {
		return probe
	}
	if len(untried) == 0 {
		untried = tried
	}
	if len(untried) == 0 {
		return nil
	}
	u, o := untried[rand.IntN(len(untried))], untried[rand.IntN(len(untried))]
	if o.health.score(o.busySlots()) < u.health.score(u.busySlots()) {
		return o
	}
	return u
}

func (r *Router) reserveSlot(now time.Time, u *upstream, c *call) grant {
	slot := u.freeSlot()
	u.busy[slot] = true
	r.lastAttemptID++
	u.health.recordStart(now, r.lastAttemptID, r.typicalDurations[c.class.Kind])
	c.triedRunners[u.id] = true
	return grant{upstream: u, slot: slot, attemptID: r.lastAttemptID}
}
