package election

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
)

// In a cell whose VMs differ in size, the election prefers larger VMs. The CPU and
// network bandwidth that the scheduler needs grow with the number of runners, and a VM
// that has less falls behind for as long as it holds the role.

const (
	// largerVMHeadStart is how long a VM leaves a vacant role to larger VMs before it
	// campaigns itself. Unless the store is slow, several campaigns fit into this time.
	largerVMHeadStart = 250 * time.Millisecond
	// minHandoverRatio is the capacity that another VM must have, relative to the holder,
	// before the role is handed over: a change of the holder leaves the cell without a
	// scheduler for a fraction of a second.
	minHandoverRatio = 1.5
	// handoverDelay is how long a larger VM must be known before a handover. It doubles
	// with each handover after which no larger VM took the role.
	handoverDelay = 1500 * time.Millisecond
	// maxHandoverDoublings limits the backoff to about a minute and a half.
	maxHandoverDoublings = 6
)

// Capacities tells how much scheduling work this VM and the other VMs can do, in cores.
type Capacities struct {
	// Own is the capacity of this VM.
	Own float64
	// LargestOther returns the largest capacity among the other VMs that could take the
	// role now; 0 if none is known. A nil function means that none is ever known.
	LargestOther func(now time.Time) float64
}

// SetCapacities makes the election prefer larger VMs. It must be called before Run.
func (e *Elector) SetCapacities(c Capacities) { e.capacities = c }

// Capacity returns the scheduling capacity of this VM in cores; 0 after Resign.
func (e *Elector) Capacity() float64 {
	if e.isResigned() {
		return 0
	}
	return e.capacities.Own
}

// largestOther returns the largest known capacity of another VM, or 0.
func (e *Elector) largestOther(now time.Time) float64 {
	if e.capacities.LargestOther == nil {
		return 0
	}
	return e.capacities.LargestOther(now)
}

// handoverTimer decides when a holder hands its role over to a larger VM.
type handoverTimer struct {
	own float64
	// delay is how long a larger VM must be known before the handover.
	delay time.Duration
	// largerSince is the start of the current uninterrupted period in which a larger VM
	// is known.
	largerSince time.Time
}

func (e *Elector) newHandoverTimer() *handoverTimer {
	return &handoverTimer{own: e.capacities.Own, delay: handoverDelay << min(e.failedHandovers, maxHandoverDoublings)}
}

// capacityRecord is the stored summary of the VMs' capacities as the last holder knew them.
type capacityRecord struct {
	// Largest is the largest capacity in cores.
	Largest float64 `json:"largest_cores"`
	// FailedHandovers counts the consecutive handovers after which no larger VM took the
	// role, including the one being recorded. HandedOverBy is the capacity in cores of the
	// VM that handed over.
	FailedHandovers int     `json:"futile_handovers,omitempty"`
	HandedOverBy    float64 `json:"handed_over_by_cores,omitempty"`
}

// newCapacityRecord returns the capacity record that this VM writes when it becomes the
// holder. The count of failed handovers carries over if this VM is not a larger one.
func (e *Elector) newCapacityRecord(last capacityRecord) *capacityRecord {
	next := &capacityRecord{Largest: max(e.capacities.Own, e.largestOther(time.Now()))}
	if e.capacities.Own < last.HandedOverBy*minHandoverRatio {
		next.FailedHandovers, next.HandedOverBy = last.FailedHandovers, last.HandedOverBy
	}
	return next
}

// due reports whether to hand the role over now, given the largest capacity among the
// other VMs.
func (h *handoverTimer) due(now time.Time, largest float64) bool {
	if h.own <= 0 || largest < h.own*minHandoverRatio {
		h.largerSince = time.Time{}
		return false
	}
	if h.largerSince.IsZero() {
		h.largerSince = now
	}
	return now.Sub(h.largerSince) >= h.delay
}

// recordHandover stores the larger VM's capacity before a handover, so that other small VMs
// campaign only after largerVMHeadStart. It counts the handover as failed until a larger VM
// takes the role.
func (e *Elector) recordHandover(ctx context.Context, t Term, largest float64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(capacityRecord{Largest: largest, FailedHandovers: e.failedHandovers + 1, HandedOverBy: e.capacities.Own})
	if err == nil {
		_, err = e.store.Commit(ctx, platform.Txn{
			Expected: []platform.Condition{t.Guard},
			Write:    []platform.Write{{Key: capacityKey, Value: value}},
		})
	}
	if err != nil {
		e.log.Info("[election] cannot store the handover record", zap.Int64("term", t.Number), zap.Error(err))
	}
}
