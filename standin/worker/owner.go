package worker

import (
	"time"

	wire "rhubarbstall.example/wire/worker"
)

// owner is the state of the worker's owner lease.
type owner struct {
	id      string
	epoch   uint64
	expires time.Time
	// released is set once the owner has released its lease.
	released bool
}

// acquire grants or renews the lease. It returns a refusal if it cannot.
func (o *owner) acquire(by wire.Owner, lease time.Duration, now, firstGrantAt time.Time) *wire.Refusal {
	if now.Before(firstGrantAt) {
		// A lease that was granted before the restart may still be valid.
		return o.refuse(wire.RefusedOtherOwner, firstGrantAt.Sub(now))
	}
	if r := o.checkEpoch(by, now); r != nil {
		return r
	}
	if by.ID != o.id && now.Before(o.expires) {
		return o.refuse(wire.RefusedOtherOwner, o.expires.Sub(now))
	}
	*o = owner{id: by.ID, epoch: by.Epoch, expires: now.Add(lease)}
	return nil
}

// check returns a refusal unless the sender holds the lease.
func (o *owner) check(by wire.Owner, now time.Time) *wire.Refusal {
	if r := o.checkEpoch(by, now); r != nil {
		return r
	}
	switch {
	case by.ID != o.id && now.Before(o.expires):
		return o.refuse(wire.RefusedOtherOwner, o.expires.Sub(now))
	case by.ID != o.id || by.Epoch != o.epoch || !now.Before(o.expires):
		return o.refuse(wire.RefusedLeaseLapsed, 0)
	}
	return nil
}

// release ends the lease if the sender holds it.
func (o *owner) release(by wire.Owner, now time.Time) *wire.Refusal {
	if r := o.check(by, now); r != nil {
		return r
	}
	o.expires, o.released = now, true
	return nil
}

// checkEpoch refuses an epoch below the current one. It also refuses the current epoch if
// the sender is not its owner or the owner has released the lease.
func (o *owner) checkEpoch(by wire.Owner, now time.Time) *wire.Refusal {
	if by.Epoch > o.epoch || by.Epoch == o.epoch && by.ID == o.id && !o.released {
		return nil
	}
	return o.refuse(wire.RefusedStaleEpoch, max(0, o.expires.Sub(now)))
}

func (o *owner) refuse(code wire.RefusalCode, remaining time.Duration) *wire.Refusal {
	return &wire.Refusal{Code: code, Epoch: o.epoch, OwnerID: o.id, RemainingMillis: remaining.Milliseconds()}
}
