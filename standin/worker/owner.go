package worker

import (
	"time"

	wire "rhubarbstall.example/wire/worker"
)

// owner is the owner lease of the worker.
type owner struct {
	id    string
	epoch uint64
	until time.Time
	// dropped is set once the owner released its lease.
	dropped bool
}

// claim grants or renews the lease, or returns the refusal.
func (o *owner) claim(by wire.Owner, lease time.Duration, now, grantsFrom time.Time) *wire.Refusal {
	if now.Before(grantsFrom) {
		// The lease that was granted before the restart may still run.
		return o.refuse(wire.RefusedOtherOwner, grantsFrom.Sub(now))
	}
	if r := o.stale(by, now); r != nil {
		return r
	}
	if by.ID != o.id && now.Before(o.until) {
		return o.refuse(wire.RefusedOtherOwner, o.until.Sub(now))
	}
	*o = owner{id: by.ID, epoch: by.Epoch, until: now.Add(lease)}
	return nil
}

// check returns the refusal of a request that needs the lease.
func (o *owner) check(by wire.Owner, now time.Time) *wire.Refusal {
	if r := o.stale(by, now); r != nil {
		return r
	}
	switch {
	case by.ID != o.id && now.Before(o.until):
		return o.refuse(wire.RefusedOtherOwner, o.until.Sub(now))
	case by.ID != o.id || by.Epoch != o.epoch || !now.Before(o.until):
		return o.refuse(wire.RefusedLeaseLapsed, 0)
	}
	return nil
}

// drop releases the lease if it is held by the sender.
func (o *owner) drop(by wire.Owner, now time.Time) *wire.Refusal {
	if r := o.check(by, now); r != nil {
		return r
	}
	o.until, o.dropped = now, true
	return nil
}

// stale refuses an epoch below the highest one, and the highest one of another
// owner or after it was released.
func (o *owner) stale(by wire.Owner, now time.Time) *wire.Refusal {
	if by.Epoch > o.epoch || by.Epoch == o.epoch && by.ID == o.id && !o.dropped {
		return nil
	}
	return o.refuse(wire.RefusedStaleEpoch, max(0, o.until.Sub(now)))
}

func (o *owner) refuse(code wire.RefusalCode, remaining time.Duration) *wire.Refusal {
	return &wire.Refusal{Code: code, Epoch: o.epoch, OwnerID: o.id, RemainingMillis: remaining.Milliseconds()}
}
