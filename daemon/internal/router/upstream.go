package router

import (
	"net/http"
	"time"

	wire "rhubarbstall.example/wire/runner"
)

// slotHoldTime is how long a slot stays busy after a request to which no answer
// began. The runner may keep running the request until it notices that the
// connection is closed.
const slotHoldTime = 500 * time.Millisecond

// idleConnTimeout is how long an idle connection to a runner stays open.
const idleConnTimeout = 10 * time.Second

// upstream is a runner as seen by this entry VM. Router.mu guards all fields
// except the transports and the pool.
type upstream struct {
	id   string
	zone string
	addr string
	// assigned, usable, busy and heldUntil are indexed by slot. A slot is assigned
	// if rendezvous hashing gives it to this entry VM, and usable if this entry VM
	// may also start requests on it now. A busy slot may have been reassigned in the
	// meantime. heldUntil, if set, is when a slot whose request has ended becomes
	// free.
	assigned  [wire.Slots]bool
	usable    [wire.Slots]bool
	busy      [wire.Slots]bool
	heldUntil [wire.Slots]time.Time
	leaving   leavingState
	// delisted is set if the runner is no longer on the VM list.
	delisted bool
	health   health

	pool               connPool
	keepAliveTransport *http.Transport
	singleUseTransport *http.Transport
}

func newUpstream(id, zone, addr string) *upstream {
	u := &upstream{id: id, zone: zone, addr: addr, health: newHealth()}
	u.pool.limit.Store(1)
	u.keepAliveTransport = u.transport(false)
	u.singleUseTransport = u.transport(true)
	return u
}

// transport returns an HTTP/1 transport without proxy and compression; the digest
// of an answer covers the bytes as sent. RoundTrip follows no redirects.
func (u *upstream) transport(singleUse bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         u.pool.dial,
		DisableCompression:  true,
		DisableKeepAlives:   singleUse,
		MaxIdleConnsPerHost: wire.Slots,
		IdleConnTimeout:     idleConnTimeout,
		Protocols:           protocols,
	}
}

func (u *upstream) close() {
	u.keepAliveTransport.CloseIdleConnections()
	u.singleUseTransport.CloseIdleConnections()
}

// busySlots returns the number of busy slots.
func (u *upstream) busySlots() int {
	n := 0
	for _, b := range u.busy {
		if b {
			n++
		}
	}
	return n
}

func (u *upstream) usableSlots() int {
	n := 0
	for _, o := range u.usable {
		if o {
			n++
		}
	}
	return n
}

// freeSlot returns a usable slot that is not busy, or -1.
func (u *upstream) freeSlot() int {
	for i := range u.usable {
		if u.usable[i] && !u.busy[i] {
			return i
		}
	}
	return -1
}

// availableSlots returns how many more requests the runner may get now.
func (u *upstream) availableSlots(now time.Time) int {
	if u.leaving.isLeaving() || u.delisted {
		return 0
	}
	free := 0
	for i := range u.usable {
		if u.usable[i] && !u.busy[i] {
			free++
		}
	}
	return min(free, u.health.headroom(now))
}

// release frees a slot. If the runner may still be running the request, the slot
// stays busy for slotHoldTime.
func (u *upstream) release(now time.Time, slot int, mayStillRun bool) {
	if mayStillRun {
		u.heldUntil[slot] = now.Add(slotHoldTime)
		return
	}
	u.busy[slot] = false
}

// releaseHeldSlots frees the slots whose hold time is over.
func (u *upstream) releaseHeldSlots(now time.Time) {
	for i, until := range u.heldUntil {
		if !until.IsZero() && !now.Before(until) {
			u.heldUntil[i], u.busy[i] = time.Time{}, false
		}
	}
}
