package platform

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxBudgetWait bounds the wait for a token. A call that would wait longer fails
	// at once, so that the caller can retry later with a new deadline.
	maxBudgetWait = 500 * time.Millisecond
	// maxBudgetWaiters bounds the calls that wait for a token.
	maxBudgetWaiters = 128
	// minBurstCalls is the smallest burst, for entry VMs with a small share of the
	// budget.
	minBurstCalls = 4
)

// callBudget is a token bucket. Each call reads its rate from callsPerSecond, since the
// rate may change.
type callBudget struct {
	callsPerSecond func() int
	limiter        *rate.Limiter
	waiting        atomic.Int32
}

func newCallBudget(callsPerSecond func() int) *callBudget {
	n := max(1, callsPerSecond())
	return &callBudget{callsPerSecond: callsPerSecond, limiter: rate.NewLimiter(rate.Limit(n), max(minBurstCalls, n))}
}

// acquire waits for a token. It returns ErrBudgetExceeded without waiting if the wait
// would be too long. With skipBudgetWait it takes the token without waiting, and later
// calls wait longer instead: a late renewal of a lease costs the zone its scheduler.
func (b *callBudget) acquire(ctx context.Context, skipBudgetWait bool) error {
	now := time.Now()
	if n := max(1, b.callsPerSecond()); rate.Limit(n) != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, rate.Limit(n))
		b.limiter.SetBurstAt(now, max(minBurstCalls, n))
	}
	r := b.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if skipBudgetWait || wait == 0 {
		return nil
	}
	deadline, ok := ctx.Deadline()
	late := ok && now.Add(wait).After(deadline)
	if late || wait > maxBudgetWait || b.waiting.Add(1) > maxBudgetWaiters {
		if !late && wait <= maxBudgetWait {
			b.waiting.Add(-1)
		}
		r.CancelAt(now)
		return ErrBudgetExceeded
	}
	defer b.waiting.Add(-1)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		r.Cancel()
		return ErrBudgetExceeded
	}
}
