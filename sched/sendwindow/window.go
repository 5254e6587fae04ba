// Package sendwindow bounds the bytes that a VM has under way to runners. A burst of start
// orders, each of which carries the payload of its job, can exceed what the VM's network link
// sends within the timeout of an order. Without a bound such orders wait in the link, count as
// unanswered, and are stopped and repeated, which keeps the link full after the burst. With a
// bound they wait in the scheduler's backlog instead, where the most urgent goes first and a
// cancelled one is dropped.
//
// The window follows the delay that the orders meet: if even the fastest answer of an interval
// took much longer than the fastest answer ever, all orders wait in the same queue, and the
// window shrinks; one slow runner does not shrink it. The window grows again while it is the
// limit and answers are fast.
package sendwindow

import "time"

const (
	// nominalDelay is the time in which the link sends a window of nominal size. It is short
	// compared with the timeout of an order, which also covers other traffic of the VM.
	nominalDelay = 100 * time.Millisecond
	// unknownLinkBytes is the nominal window if the bandwidth of the link is not known.
	unknownLinkBytes = 1 << 20
	// minWindowShare and maxWindowShare bound the window relative to the nominal one. The
	// lower bound keeps orders flowing on a narrow link while its receiving direction delays
	// answers, which fewer orders do not change.
	minWindowShare = 0.5
	maxWindowShare = 2.0
	// maxLowerBoundBytes limits the lower bound on a wide link: there the processor is what
	// delays answers, and each further order under way only makes all of them later.
	maxLowerBoundBytes = 64 << 10
	// minWindowBytes is a few orders.
	minWindowBytes = 4 << 10
	// interval is the time over which the fastest answer is measured.
	interval = 100 * time.Millisecond
	// maxQueueDelay is the delay above the base up to which the window does not shrink.
	maxQueueDelay = 60 * time.Millisecond
	// baseRetention is how long the fastest answer serves as base: the path may change.
	baseRetention = 30 * time.Second
	// shrinkFactor and growFactor change the window after an interval.
	shrinkFactor = 0.7
	growFactor   = 1.25
)

// Window is a bound on the bytes of orders without an answer. It is not safe for concurrent
// use.
type Window struct {
	minBytes, maxBytes float64
	size               float64
	inFlight           int
	// base is the shortest answer time since baseAt.
	base   time.Duration
	baseAt time.Time
	// fastest is the shortest answer time in the interval that began at intervalAt; 0 if there
	// was no answer.
	fastest    time.Duration
	intervalAt time.Time
	// limited tells whether an order had to wait for the window in the interval, and timedOut
	// whether one got no answer in time.
	limited, timedOut bool
	rtt               roundTrips
	// batching is how long orders and answers wait on purpose, to share messages.
	batching time.Duration
}

// New returns the window of a link that sends bytesPerSecond bytes a second; 0 if that is not
// known.
func New(bytesPerSecond float64) *Window {
	nominal := bytesPerSecond * nominalDelay.Seconds()
	if nominal <= 0 {
		nominal = unknownLinkBytes
	}
	return &Window{minBytes: max(minWindowBytes, min(nominal*minWindowShare, maxLowerBoundBytes)), maxBytes: max(minWindowBytes, nominal*maxWindowShare), size: max(minWindowBytes, nominal)}
}

// Size returns the present bound in bytes, and InFlight the bytes without an answer.
func (w *Window) Size() int     { return int(w.size) }
func (w *Window) InFlight() int { return w.inFlight }

// SetBatching sets how long orders and answers together may wait to share messages with others. That delay
// does not grow with the orders under way, so it does not shrink the window.
func (w *Window) SetBatching(d time.Duration) { w.batching = d }

// Room returns how many bytes may be sent now.
func (w *Window) Room() int { return max(0, int(w.size)-w.inFlight) }

// Admit reports whether an order of n bytes may be sent now, and counts it as under way if so.
// An order larger than the window may be sent when nothing is under way.
func (w *Window) Admit(now time.Time, n int) bool {
	w.advance(now)
	if w.inFlight > 0 && w.inFlight+n > int(w.size) {
		w.limited = true
		return false
	}
	w.inFlight += n
	return true
}

// Answered records that an order of n bytes was answered after a time.
func (w *Window) Answered(now time.Time, n int, took time.Duration) {
	w.inFlight = max(0, w.inFlight-n)
	if w.base == 0 || took < w.base || now.Sub(w.baseAt) > baseRetention {
		w.base, w.baseAt = took, now
	}
	if w.fastest == 0 || took < w.fastest {
		w.fastest = max(took, 1)
	}
	w.rtt.add(took)
	w.advance(now)
}

// TimedOut records that an order got no answer in time. Its bytes stay under way until it is
// answered or abandoned.
func (w *Window) TimedOut(now time.Time) {
	w.timedOut = true
	w.advance(now)
}

// Abandoned records that no answer to an order of n bytes is awaited any more, or that it was
// not sent.
func (w *Window) Abandoned(n int) { w.inFlight = max(0, w.inFlight-n) }

// advance adjusts the window at the end of an interval.
func (w *Window) advance(now time.Time) {
	if w.intervalAt.IsZero() {
		w.intervalAt = now
	}
	if now.Sub(w.intervalAt) < interval {
		return
	}
	delayed := w.fastest > 0 && w.fastest > w.base+maxQueueDelay+w.batching
	switch {
	case delayed || (w.timedOut && w.fastest == 0):
		w.size = max(w.minBytes, w.size*shrinkFactor)
	case w.limited && w.fastest > 0:
		w.size = min(w.maxBytes, w.size*growFactor)
	}
	w.intervalAt, w.fastest, w.limited, w.timedOut = now, 0, false, false
}

// Timeout returns how long to wait for an answer, at least least and at most most: the usual
// mean plus four deviations of the measured times.
func (w *Window) Timeout(least, most time.Duration) time.Duration {
	return min(max(w.rtt.bound(), least), most)
}
