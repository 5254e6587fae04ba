package admission

import (
	"math"
	"time"
)

const (
	// usageWindow is the time constant over which the floor of a kind is measured.
	usageWindow = 10 * time.Second
	// rateWindow is the time constant of the measured service rate. It is short
	// so that the queue limit follows a change of load within a patience.
	rateWindow = 5 * time.Second
	// priorTime is how much weight the expected rate has against the measured
	// one; without it the first requests of a kind would have no rate.
	priorTime = 500 * time.Millisecond
	// defaultService is the service time of a kind that was never measured.
	defaultService = 100 * time.Millisecond
	// serviceGain is the weight of the newest service time.
	serviceGain = 0.1
)

// kind holds what the classes of one kind share: slots in use, floor, reserve
// and the measured service rate.
type kind struct {
	urgency int
	floor   float64
	reserve float64
	running int
	waiting int
	classes int
	// bytes is the size of the bodies of the admitted requests.
	bytes int64
	// ready holds the classes that wait.
	ready queueHeap
	// declared kinds are kept without classes.
	declared bool
	// weights is the sum of the weights of the classes that wait.
	weights float64
	// usage is the decayed integral of the slots in use, in slot seconds.
	usage   float64
	service time.Duration
	// starts and backlogged are decayed sums over the time with a backlog.
	starts     float64
	backlogged float64
	updated    time.Time
}

func (k *kind) observe(now time.Time) {
	dt := now.Sub(k.updated).Seconds()
	if dt <= 0 {
		return
	}
	k.updated = now
	w := usageWindow.Seconds()
	decay := math.Exp(-dt / w)
	k.usage = k.usage*decay + float64(k.running)*w*(1-decay)
	if k.waiting > 0 {
		decay = math.Exp(-dt / rateWindow.Seconds())
		k.starts *= decay
		k.backlogged = k.backlogged*decay + rateWindow.Seconds()*(1-decay)
	}
}

// take takes the policy of a class over.
func (k *kind) take(now time.Time, class Class) {
	k.observe(now)
	k.urgency = class.Urgency
	k.floor = float64(min(100, max(0, class.FloorPercent))) / 100
	k.reserve = float64(min(100, max(0, class.ReservePercent))) / 100
}

// share returns the part of the capacity that the kind used in the window.
func (k *kind) share(capacity int) float64 {
	if capacity == 0 {
		return 0
	}
	return k.usage / (usageWindow.Seconds() * float64(capacity))
}

func (k *kind) serviceTime() time.Duration {
	if k.service <= 0 {
		return defaultService
	}
	return k.service
}

// rate returns the starts a second that the kind gets while it has a backlog.
func (k *kind) rate(capacity int) float64 {
	expected := float64(capacity) / k.serviceTime().Seconds()
	p := priorTime.Seconds()
	measured := (k.starts + expected*p) / (k.backlogged + p)
	return max(measured, k.floor*expected)
}

func (k *kind) served(d time.Duration) {
	if d <= 0 {
		return
	}
	if k.service == 0 {
		k.service = d
		return
	}
	k.service += time.Duration(serviceGain * float64(d-k.service))
}
