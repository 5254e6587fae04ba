package router

import (
	"net/http"
	"time"

	wire "rhubarbstall.example/wire/runner"
)

// holdTime is how long a slot stays busy after a request to which no answer
// began. The runner may still run it until it notices that the connection is
// closed.
const holdTime = 500 * time.Millisecond

// idleConnTime is how long an unused connection to a runner stays open.
const idleConnTime = 10 * time.Second

// upstream is a runner as this entry VM uses it. Fields are guarded by the
// router's lock, but for the transports and the pool.
type upstream struct {
	id   string
	zone string
	addr string
	// mine, owned, busy and held are indexed by slot. Mine is the result of the
	// rendezvous; owned slots may also be used now. A busy slot may be no longer
	// owned. A held slot stays busy until that time after its request ended.
	mine    [wire.Slots]bool
	owned   [wire.Slots]bool
	busy    [wire.Slots]bool
	held    [wire.Slots]time.Time
	leaving leaving
	// gone tells that the list dropped the runner.
	gone   bool
	health health

	pool   connPool
	reused *http.Transport
	fresh  *http.Transport
}

func newUpstream(id, zone, addr string) *upstream {
	u := &upstream{id: id, zone: zone, addr: addr, health: newHealth()}
	u.pool.limit.Store(1)
	u.reused = u.transport(false)
	u.fresh = u.transport(true)
	return u
}

// transport returns an HTTP/1 transport without proxy, redirects or
// compression; the digest covers the bytes as sent.
func (u *upstream) transport(fresh bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         u.pool.dial,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: wire.Slots,
		IdleConnTimeout:     idleConnTime,
		Protocols:           protocols,
	}
}

func (u *upstream) close() {
	u.reused.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

// inFlight returns the number of busy slots.
func (u *upstream) inFlight() int {
	n := 0
	for _, b := range u.busy {
		if b {
			n++
		}
	}
	return n
}

func (u *upstream) ownedSlots() int {
	n := 0
	for _, o := range u.owned {
		if o {
			n++
		}
	}
	return n
}

// freeSlot returns an owned slot that is not busy, or -1.
func (u *upstream) freeSlot() int {
	for i := range u.owned {
		if u.owned[i] && !u.busy[i] {
			return i
		}
	}
	return -1
}

// usable returns how many more requests the runner may get now.
func (u *upstream) usable(now time.Time) int {
	if u.leaving.now() || u.gone {
		return 0
	}
	free := 0
	for i := range u.owned {
		if u.owned[i] && !u.busy[i] {
			free++
		}
	}
	return min(free, u.health.room(now))
}

// release frees a slot, after the hold time if the runner may still use it.
func (u *upstream) release(now time.Time, slot int, open bool) {
	if open {
		u.held[slot] = now.Add(holdTime)
		return
	}
	u.busy[slot] = false
}

// endHold frees the slots whose hold time is over.
func (u *upstream) endHold(now time.Time) {
	for i, until := range u.held {
		if !until.IsZero() && !now.Before(until) {
			u.held[i], u.busy[i] = time.Time{}, false
		}
	}
}
