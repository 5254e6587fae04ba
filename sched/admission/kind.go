package admission

import (
	"math"
	"time"
)

const (
	// usageWindow is the time constant of the slot usage that is compared with the
	// floor of a kind.
	usageWindow = 10 * time.Second
	// rateWindow is the time constant of the measured start rate. It is short, so
	// that the queue limit follows a change of load within the patience of requests.
	rateWindow = 5 * time.Second
	// priorPeriod is the weight of the expected start rate, given as the time with a
	// backlog that would give the measured rate the same weight. Without it there would
	// be no rate for the first requests of a kind.
	priorPeriod = 500 * time.Millisecond
	// defaultService is the assumed service time of a kind before the first
	// measurement.
	defaultService = 100 * time.Millisecond
	// serviceSmoothing is the weight of the newest value in the exponential moving
	// average of the service time.
	serviceSmoothing = 0.1
)

// kind holds the state that the classes of one kind share: slots in use, floor,
// reserve, and the measured start rate and service time.
type kind struct {
	urgency int
	floor   float64
	reserve float64
	running int
	waiting int
	classes int
	// bytes is the size of the bodies of the admitted requests.
	bytes int64
	// waitingQueues holds the queues of the kind that are not empty.
	waitingQueues queueHeap
	// declared is set by DeclareKinds. A declared kind is kept while it has no classes.
	declared bool
	// waitingWeight is the sum of the weights of the classes with queued requests.
	waitingWeight float64
	// slotSeconds is the integral of the slots in use over time, with exponential
	// decay.
	slotSeconds float64
	meanService time.Duration
	// starts and backlogSeconds are the number of starts and the time with a backlog,
	// with exponential decay over the time with a backlog.
	starts         float64
	backlogSeconds float64
	// updated is the time up to which the sums with decay are computed.
	updated time.Time
}

// advance updates the sums with exponential decay to now.
func (k *kind) advance(now time.Time) {
	dt := now.Sub(k.updated).Seconds()
	if dt <= 0 {
		return
	}
	k.updated = now
	w := usageWindow.Seconds()
	decay := math.Exp(-dt / w)
	k.slotSeconds = k.slotSeconds*decay + float64(k.running)*w*(1-decay)
	if k.waiting > 0 {
		decay = math.Exp(-dt / rateWindow.Seconds())
		k.starts *= decay
		k.backlogSeconds = k.backlogSeconds*decay + rateWindow.Seconds()*(1-decay)
	}
}

// setPolicy applies the policy of a class to its kind.
func (k *kind) setPolicy(now time.Time, class Class) {
	k.advance(now)
	k.urgency = class.Urgency
	k.floor = float64(min(100, max(0, class.FloorPercent))) / 100
	k.reserve = float64(min(100, max(0, class.ReservePercent))) / 100
}

// usedShare returns the share of the capacity that the kind used in usageWindow.
func (k *kind) usedShare(capacity int) float64 {
	if capacity == 0 {
		return 0
	}
	return k.slotSeconds / (usageWindow.Seconds() * float64(capacity))
}

func (k *kind) serviceTime() time.Duration {
	if k.meanService <= 0 {
		return defaultService
	}
	return k.meanService
}

// startRate returns the expected starts per second of the kind while it has a backlog.
func (k *kind) startRate(capacity int) float64 {
	expected := float64(capacity) / k.serviceTime().Seconds()
	p := priorPeriod.Seconds()
	measured := (k.starts + expected*p) / (k.backlogSeconds + p)
	return max(measured, k.floor*expected)
}

func (k *kind) recordService(d time.Duration) {
	if d <= 0 {
		return
	}
	if k.meanService == 0 {
		k.meanService = d
		return
	}
	k.meanService += time.Duration(serviceSmoothing * float64(d-k.meanService))
}
