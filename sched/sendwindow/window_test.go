package sendwindow

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// link simulates a link that sends orders one after the other, and runners that answer after a
// base delay.
type link struct {
	bytesPerSecond int
	base           time.Duration
	now, busyUntil time.Time
	sent           []sentOrder
}

type sentOrder struct {
	bytes              int
	sentAt, answeredAt time.Time
}

func newLink(bytesPerSecond int) *link {
	start := time.Unix(1000, 0)
	return &link{bytesPerSecond: bytesPerSecond, base: 3 * time.Millisecond, now: start, busyUntil: start}
}

func (l *link) send(n int, extra time.Duration) {
	if l.busyUntil.Before(l.now) {
		l.busyUntil = l.now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	l.sent = append(l.sent, sentOrder{n, l.now, l.busyUntil.Add(l.base + extra)})
}

// step advances the time and passes the answers to the window; it returns the slowest one.
func (l *link) step(w *Window, d time.Duration) (slowest time.Duration) {
	l.now = l.now.Add(d)
	kept := l.sent[:0]
	for _, o := range l.sent {
		if o.answeredAt.After(l.now) {
			kept = append(kept, o)
			continue
		}
		took := o.answeredAt.Sub(o.sentAt)
		w.Answered(l.now, o.bytes, took)
		slowest = max(slowest, took)
	}
	l.sent = kept
	return slowest
}

// Guards against a burst of orders that waits in the link for longer than an order may take:
// eight seconds of orders at twice what the link carries, beside other traffic that takes a
// quarter of it. The link must still be used.
func TestBurstWaitsOutsideTheLink(t *testing.T) {
	const rate, orderBytes = 250_000, 1200
	l := newLink(rate)
	w := New(rate)
	queued, owed, sent := 0, 0, 0
	random := rand.New(rand.NewPCG(1, 2))
	for range 8000 {
		for owed += 2 * rate / 1000; owed >= orderBytes; owed -= orderBytes {
			queued++
		}
		if random.Float64() < 0.25*rate/1000/orderBytes {
			l.busyUntil = l.busyUntil.Add(time.Second * orderBytes / rate)
		}
		for queued > 0 && w.Admit(l.now, orderBytes) {
			l.send(orderBytes, 0)
			queued--
			sent++
		}
		must.Less(t, 400*time.Millisecond, l.step(w, time.Millisecond), must.Sprint("time to the answer of an order"))
	}
	must.Greater(t, 8*rate*6/10, sent*orderBytes, must.Sprint("bytes of orders sent in eight seconds"))
}

// Guards against thousands of orders under way on a VM whose link is wide and whose processor is the
// limit: each would arrive seconds after it was checked, at a runner that has left or for a job that
// was cancelled. The processor serves 1,500 orders a second, and twice as many are decided.
func TestBusyProcessorDoesNotDelayOrders(t *testing.T) {
	const perSecond, orderBytes = 1500, 800
	l := newLink(perSecond * orderBytes)
	w := New(25e6)
	queued, sent := 0, 0
	for i := range 10000 {
		queued += 2 * perSecond / 1000
		for queued > 0 && w.Admit(l.now, orderBytes) {
			l.send(orderBytes, 0)
			queued--
			sent++
		}
		if slowest := l.step(w, time.Millisecond); i > 3000 {
			must.Less(t, 400*time.Millisecond, slowest, must.Sprint("time to the answer of an order"))
		}
	}
	must.Greater(t, 10*perSecond*9/10, sent)
}

// Guards against a window that shrinks because single runners are slow.
func TestSlowRunnersDoNotShrinkTheWindow(t *testing.T) {
	const rate, orderBytes = 2_500_000, 1000
	l := newLink(rate)
	w := New(rate)
	before := w.Size()
	for i := range 5000 {
		if i%2 == 0 && w.Admit(l.now, orderBytes) {
			extra := time.Duration(0)
			if i%10 == 0 {
				extra = 400 * time.Millisecond
			}
			l.send(orderBytes, extra)
		}
		l.step(w, time.Millisecond)
	}
	must.GreaterEq(t, before, w.Size())
}

// Guards against a window that stays closed after orders without an answer: abandoned orders
// must give their bytes back, and an order larger than the window must still be sent.
func TestAbandonedOrdersReopenTheWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	w := New(40_000)
	n := 0
	for w.Admit(now, 1000) {
		n++
	}
	must.Positive(t, n)
	for range n {
		now = now.Add(interval)
		w.TimedOut(now)
		w.Abandoned(1000)
	}
	must.Eq(t, 0, w.InFlight())
	must.True(t, w.Admit(now, 1<<20))
	must.False(t, w.Admit(now, 1))
}

// Guards against a timeout that answers regularly exceed on a slow path, and against one that
// grows without limit.
func TestTimeoutFollowsMeasuredTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	w := New(0)
	must.Eq(t, 500*time.Millisecond, w.Timeout(500*time.Millisecond, 2*time.Second))
	for i := range 100 {
		w.Answered(now, 0, time.Duration(500+i%2*100)*time.Millisecond)
	}
	got := w.Timeout(500*time.Millisecond, 2*time.Second)
	must.Greater(t, 600*time.Millisecond, got)
	must.Less(t, time.Second, got)
	for range 100 {
		w.Answered(now, 0, time.Minute)
	}
	must.Eq(t, 2*time.Second, w.Timeout(500*time.Millisecond, 2*time.Second))
}

// Guards against a window that closes because orders and their answers share messages: their answers
// take longer, and fewer orders under way would not change that.
func TestOrdersThatWaitForABatchDoNotShrinkTheWindow(t *testing.T) {
	const perSecond, orderBytes, batching = 1500, 1500, 160 * time.Millisecond
	for _, c := range []struct {
		batching     time.Duration
		fewest, most int
	}{{batching, 10 * perSecond * 9 / 10, 10 * perSecond}, {0, 0, 10 * perSecond / 2}} {
		l := newLink(25_000_000)
		w := New(25e6)
		// A few answers come at once, before the load.
		must.True(t, w.Admit(l.now, orderBytes))
		l.send(orderBytes, 0)
		l.step(w, 100*time.Millisecond)
		w.SetBatching(c.batching)
		queued, owed, sent := 0, 0, 0
		for range 10000 {
			for owed += perSecond; owed >= 1000; owed -= 1000 {
				queued++
			}
			for queued > 0 && w.Admit(l.now, orderBytes) {
				l.send(orderBytes, batching)
				queued--
				sent++
			}
			l.step(w, time.Millisecond)
		}
		must.Between(t, c.fewest, sent, c.most, must.Sprintf("orders sent in ten seconds, of which batching explains %v", c.batching))
	}
}
