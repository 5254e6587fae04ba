package router

import (
	"math/rand/v2"
	"time"

	wire "rhubarbstall.example/wire/runner"
)

const (
	// healthGain is the weight of the newest latency and error.
	healthGain = 0.2
	// ejectAfter is the number of failures in a row that eject a runner. One
	// failure can be an accident; three in a row on a healthy runner are rare.
	ejectAfter = 3
	// ejectErrorRate ejects a runner that fails most of its requests but not in a row.
	ejectErrorRate = 0.6
	// ejectMinimum and ejectMaximum bound the time until a probe; it doubles
	// with each failed probe.
	ejectMinimum = 500 * time.Millisecond
	ejectMaximum = 30 * time.Second
	// stallFactor times the usual time of a kind without an answer makes a
	// runner stalled, but not before stallMinimum.
	stallFactor  = 8
	stallMinimum = time.Second
	// limitCut is applied to the in-flight limit on a failure or a refusal.
	limitCut = 0.7
	// slowRatio times the usual time of the kind counts as a slow answer, if it
	// is also slowMinimum above it; below that, noise decides.
	slowRatio   = 2
	slowMinimum = 50 * time.Millisecond
)

// flight is one request in progress on a runner.
type flight struct {
	at time.Time
	// usual is the usual time of the kind; zero if it is not known.
	usual time.Duration
}

func (f flight) stalled(now time.Time) bool {
	return f.usual > 0 && now.Sub(f.at) > max(stallMinimum, stallFactor*f.usual)
}

// health tells how much work a runner gets. Its methods take the time as an
// argument.
type health struct {
	// slowness is a moving average of the time of an answer over the usual time
	// of its kind, so that kinds of different length can be compared.
	slowness  float64
	errorRate float64
	// latency is a moving average for display only.
	latency time.Duration
	// limit is the adaptive bound of requests in flight.
	limit    float64
	failures int
	// ejectedUntil is zero for a runner in use. After that time one probe is sent.
	ejectedUntil time.Time
	ejectFor     time.Duration
	probing      bool
	// unreachable tells that the ejection was for a connection that could not be
	// made. A probe of such a runner either reaches it or is proved not sent.
	unreachable bool
	// lenient keeps an ejected runner in use with one request at a time, because
	// most runners are ejected and the cause is likely to be the requests.
	lenient     bool
	lastSuccess time.Time
	flights     map[uint64]flight
}

func newHealth() health {
	return health{slowness: 1, limit: wire.Slots, flights: map[uint64]flight{}}
}

func (h *health) ejected() bool { return !h.ejectedUntil.IsZero() }

// room returns how many more requests the runner may get. A slot that is held
// after an unknown outcome is no request in flight; the slots bound it.
func (h *health) room(now time.Time) int {
	if h.ejected() {
		if h.lenient && !h.unreachable {
			return max(0, 1-len(h.flights))
		}
		if h.probing || now.Before(h.ejectedUntil) {
			return 0
		}
		return 1
	}
	if h.stalled(now) {
		return 0
	}
	return max(0, int(h.limit)-len(h.flights))
}

// mayProbe tells whether a request may be sent as a probe. One that must not be
// repeated is sent only if a failure is likely to be a proved one, or if no
// other request came for as long as the ejection lasted.
func (h *health) mayProbe(now time.Time, noRepeat bool) bool {
	return !noRepeat || h.unreachable || h.lenient || now.Sub(h.ejectedUntil) > h.ejectFor
}

// stalled tells that a request in flight takes far longer than its kind usually
// does and that the runner answered nothing since it was sent.
func (h *health) stalled(now time.Time) bool {
	for _, f := range h.flights {
		if f.stalled(now) && h.lastSuccess.Before(f.at) {
			return true
		}
	}
	return false
}

func (h *health) begin(now time.Time, id uint64, usual time.Duration) {
	h.flights[id] = flight{at: now, usual: usual}
	if h.ejected() {
		h.probing = true
	}
}

// cancel forgets a request that never reached the runner.
func (h *health) cancel(id uint64) {
	delete(h.flights, id)
	h.probing = false
}

// end notes the end of a request. Refused tells that no connection could be
// made. A runner that did not run a request because it is full is
// healthy; it gets a smaller limit but is not ejected.
func (h *health) end(now time.Time, id uint64, o Outcome, refused bool) {
	f := h.flights[id]
	delete(h.flights, id)
	switch {
	case o == Answered:
		h.success(now, now.Sub(f.at), f.usual)
	case refused:
		h.eject(now)
		h.unreachable = true
	case o == Unknown && f.stalled(now):
		h.eject(now)
	case o == Unknown:
		h.failure(now)
	default:
		h.limit = max(1, h.limit*limitCut)
		h.errorRate += healthGain * (0.5 - h.errorRate)
		if h.probing {
			h.eject(now)
		}
	}
}

func (h *health) success(now time.Time, took, usual time.Duration) {
	h.lastSuccess = now
	if h.latency == 0 {
		h.latency = took
	}
	h.latency += time.Duration(healthGain * float64(took-h.latency))
	slow := false
	if usual > 0 {
		slow = took > slowRatio*usual && took > usual+slowMinimum
		h.slowness += healthGain * (took.Seconds()/usual.Seconds() - h.slowness)
	}
	h.errorRate -= healthGain * h.errorRate
	h.failures = 0
	switch {
	case h.ejected():
		// The runner returns with a small limit, which grows with each answer.
		h.ejectedUntil, h.ejectFor, h.probing = time.Time{}, 0, false
		h.limit, h.errorRate = 1, 0
	case slow:
		h.limit = max(1, h.limit*limitCut)
	default:
		h.limit = min(wire.Slots, h.limit+1/h.limit)
	}
}

func (h *health) failure(now time.Time) {
	h.failures++
	h.errorRate += healthGain * (1 - h.errorRate)
	h.limit = max(1, h.limit*limitCut)
	if h.probing || h.failures >= ejectAfter || h.errorRate > ejectErrorRate {
		h.eject(now)
	}
}

// eject takes the runner out of use for a time with jitter, so that the entry
// VMs of a zone do not probe together. Late failures of requests that were sent
// before the ejection do not lengthen it.
func (h *health) eject(now time.Time) {
	if h.ejected() && !h.probing {
		return
	}
	h.probing, h.unreachable = false, false
	h.ejectFor = min(max(ejectMinimum, 2*h.ejectFor), ejectMaximum)
	h.ejectedUntil = now.Add(h.ejectFor/2 + rand.N(h.ejectFor/2))
}

// score is lower for a runner that should get the next request. Errors weigh
// so that a runner that fails fast is not taken for a fast one.
func (h *health) score(inFlight int) float64 {
	return max(h.slowness, 0.1) * float64(inFlight+1) * (1 + 20*h.errorRate)
}
