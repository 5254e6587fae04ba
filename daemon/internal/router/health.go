package router

import (
	"math/rand/v2"
	"time"

	wire "rhubarbstall.example/wire/runner"
)

const (
	// movingAverageWeight is the weight of the newest sample in the exponential
	// moving averages of latency and error rate.
	movingAverageWeight = 0.2
	// maxConsecutiveFailures is the number of consecutive failures that ejects a
	// runner. One failure can be an accident; three in a row are rare on a healthy
	// runner.
	maxConsecutiveFailures = 3
	// maxErrorRate is the error rate above which a runner is ejected even if its
	// failures are not consecutive.
	maxErrorRate = 0.6
	// minEjection and maxEjection bound the time from an ejection to the next
	// probe. The time doubles with each failed probe.
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
	// A request counts as stalled after stallFactor times the typical duration of
	// its kind, but not before minStallTime.
	stallFactor  = 8
	minStallTime = time.Second
	// limitDecreaseFactor multiplies the in-flight limit after a failure, a refusal
	// or a slow answer.
	limitDecreaseFactor = 0.7
	// An answer counts as slow if it took more than slowFactor times the typical
	// duration of its kind and exceeds that duration by more than minSlowExcess.
	// Smaller differences are noise.
	slowFactor    = 2
	minSlowExcess = 50 * time.Millisecond
)

// inFlightRequest is a request in progress on a runner.
type inFlightRequest struct {
	sentAt time.Time
	// typical is the typical duration of the kind; zero if unknown.
	typical time.Duration
}

func (f inFlightRequest) stalled(now time.Time) bool {
	return f.typical > 0 && now.Sub(f.sentAt) > max(minStallTime, stallFactor*f.typical)
}

// health tracks latency, errors and ejection of one runner and limits how many
// requests it gets.
type health struct {
	// latencyRatio is a moving average of answer time divided by the typical
	// duration of the kind, which makes kinds of different length comparable.
	latencyRatio float64
	errorRate    float64
	// latency is a moving average that is only displayed.
	latency time.Duration
	// inFlightLimit is the adaptive limit of requests in flight.
	inFlightLimit       float64
	consecutiveFailures int
	// ejectedUntil is zero for a runner in use. After this time one probe is sent.
	ejectedUntil time.Time
	ejectionTime time.Duration
	probing      bool
	// unreachable is set if the runner was ejected because no connection could be
	// made. A probe of such a runner either reaches it or is provably not sent.
	unreachable bool
	// panicMode lets an ejected runner take one request at a time. It is set while
	// most runners are ejected although they are reachable, since the requests are
	// then the likely cause.
	panicMode   bool
	lastSuccess time.Time
	inFlight    map[uint64]inFlightRequest
}

func newHealth() health {
	return health{latencyRatio: 1, inFlightLimit: wire.Slots, inFlight: map[uint64]inFlightRequest{}}
}

func (h *health) ejected() bool { return !h.ejectedUntil.IsZero() }

// headroom returns how many more requests the runner may get. A slot that stays
// reserved after an unknown outcome does not count as in flight here; it is
// bounded by the number of slots.
func (h *health) headroom(now time.Time) int {
	if h.ejected() {
		if h.panicMode && !h.unreachable {
			return max(0, 1-len(h.inFlight))
		}
		if h.probing || now.Before(h.ejectedUntil) {
			return 0
		}
		return 1
	}
	if h.stalled(now) {
		return 0
	}
	return max(0, int(h.inFlightLimit)-len(h.inFlight))
}

// mayProbe reports whether a request may be sent as a probe. A no-repeat request
// is used only if the runner was unreachable, since a probe that fails to connect
// is provably not run, in panic mode, or if no other request has probed the runner
// for ejectionTime after ejectedUntil.
func (h *health) mayProbe(now time.Time, noRepeat bool) bool {
	return !noRepeat || h.unreachable || h.panicMode || now.Sub(h.ejectedUntil) > h.ejectionTime
}

// stalled reports whether a request in flight has stalled and the runner has
// answered nothing since that request was sent.
func (h *health) stalled(now time.Time) bool {
	for _, f := range h.inFlight {
		if f.stalled(now) && h.lastSuccess.Before(f.sentAt) {
			return true
		}
	}
	return false
}

func (h *health) recordStart(now time.Time, id uint64, typical time.Duration) {
	h.inFlight[id] = inFlightRequest{sentAt: now, typical: typical}
	if h.ejected() {
		h.probing = true
	}
}

// recordNotSent removes a request that was never sent to the runner.
func (h *health) recordNotSent(id uint64) {
	delete(h.inFlight, id)
	h.probing = false
}

// recordEnd records the end of a request. connectFailed means that no connection
// could be made. A runner that rejects a request because it is full is healthy:
// its limit decreases and its error rate tends to 0.5, which is below maxErrorRate,
// so it is ejected again only if the request was a probe.
func (h *health) recordEnd(now time.Time, id uint64, o Outcome, connectFailed bool) {
	f := h.inFlight[id]
	delete(h.inFlight, id)
	switch {
	case o == Answered:
		h.recordSuccess(now, now.Sub(f.sentAt), f.typical)
	case connectFailed:
		h.eject(now)
		h.unreachable = true
	case o == Unknown && f.stalled(now):
		h.eject(now)
	case o == Unknown:
		h.recordFailure(now)
	default:
		h.inFlightLimit = max(1, h.inFlightLimit*limitDecreaseFactor)
		h.errorRate += movingAverageWeight * (0.5 - h.errorRate)
		if h.probing {
			h.eject(now)
		}
	}
}

func (h *health) recordSuccess(now time.Time, took, typical time.Duration) {
	h.lastSuccess = now
	if h.latency == 0 {
		h.latency = took
	}
	h.latency += time.Duration(movingAverageWeight * float64(took-h.latency))
	slow := false
	if typical > 0 {
		slow = took > slowFactor*typical && took > typical+minSlowExcess
		h.latencyRatio += movingAverageWeight * (took.Seconds()/typical.Seconds() - h.latencyRatio)
	}
	h.errorRate -= movingAverageWeight * h.errorRate
	h.consecutiveFailures = 0
	switch {
	case h.ejected():
		// A recovered runner restarts with a limit of 1, which grows with each answer.
		h.ejectedUntil, h.ejectionTime, h.probing = time.Time{}, 0, false
		h.inFlightLimit, h.errorRate = 1, 0
	case slow:
		h.inFlightLimit = max(1, h.inFlightLimit*limitDecreaseFactor)
	default:
		h.inFlightLimit = min(wire.Slots, h.inFlightLimit+1/h.inFlightLimit)
	}
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.errorRate += movingAverageWeight * (1 - h.errorRate)
	h.inFlightLimit = max(1, h.inFlightLimit*limitDecreaseFactor)
	if h.probing || h.consecutiveFailures >= maxConsecutiveFailures || h.errorRate > maxErrorRate {
		h.eject(now)
	}
}

// eject takes the runner out of use for a jittered time, so that the entry VMs
// of a zone do not all probe it at once. Late failures of requests that were
// sent before the ejection do not extend it, unless a probe is in progress.
func (h *health) eject(now time.Time) {
	if h.ejected() && !h.probing {
		return
	}
	h.probing, h.unreachable = false, false
	h.ejectionTime = min(max(minEjection, 2*h.ejectionTime), maxEjection)
	h.ejectedUntil = now.Add(h.ejectionTime/2 + rand.N(h.ejectionTime/2))
}

// score returns the load score of the runner; the lowest score gets the next
// request. The error rate is weighted so that a runner that fails fast does not
// look like a fast runner.
func (h *health) score(inFlight int) float64 {
	return max(h.latencyRatio, 0.1) * float64(inFlight+1) * (1 + 20*h.errorRate)
}
