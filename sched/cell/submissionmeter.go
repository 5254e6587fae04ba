package cell

import (
	"math"
	"time"
)

const (
	// meterSlot is the resolution at which a meter knows when jobs were accepted.
	meterSlot = 250 * time.Millisecond
	// meterSlots is how many slots a meter keeps. Jobs whose submission reaches the scheduler over the store's watch may
	// be that late (16 s, longer than a store outage of 9 s) and are still counted when they were accepted.
	meterSlots = 64
	// offeredWindow is the time constant of the measured share of excess: VMs learn of the load once a second.
	offeredWindow = time.Second
	// maxExcessShare is the largest share of an account's jobs that is rejected as excess. Some have to arrive for the
	// end of a burst to be noticed.
	maxExcessShare = 0.95
	// representedDepthFactor times the jobs that an accepted job stands for is how many tokens the bucket then holds at least.
	// The time between two accepted jobs is random, and the tokens of long intervals have to make up for short ones.
	representedDepthFactor = 2
	// meterTolerance is far below a job, and above the rounding errors of the levels.
	meterTolerance = 1e-6
)

// submissionMeter is a token bucket of weight jobs per second that holds the tokens of one second, at least one. Jobs may
// come in another order than they were accepted.
type submissionMeter struct {
	// counts holds the entitled jobs by the slot of their acceptance, modulo meterSlots; newest is the last slot. level
	// is how many tokens the bucket lacked before the oldest slot.
	counts  [meterSlots]uint32
	newest  int64
	level   float64
	started bool
	// tokens is what is left of the bucket for all offered jobs, with the rejected ones that the accepted ones stand for,
	// at offeredAt. offered and beyondWeight are moving counts of all offered jobs and of those without a token.
	tokens, offered, beyondWeight float64
	offeredAt                     time.Time
	// beyond tells whether the account counts as one that submits more than its weight.
	beyond bool
}

// bucketDepth returns the number of tokens that a bucket holds.
func bucketDepth(weight float64) float64 { return max(1, weight) }

// entitled takes a token for a job that was accepted at a time, and reports whether there was one. Jobs that were accepted
// before the oldest slot are entitled.
func (m *submissionMeter) entitled(at time.Duration, weight float64) bool {
	slot, refill := int64(math.Floor(float64(at)/float64(meterSlot))), weight*meterSlot.Seconds()
	m.advance(slot, refill)
	oldest := m.newest - meterSlots + 1
	if slot < oldest {
		return true
	}
	level := m.level
	for s := oldest; s <= m.newest; s++ {
		level += float64(*m.count(s))
		if s == slot {
			level++
		}
		if s >= slot && level > bucketDepth(weight)+meterTolerance {
			return false
		}
		level = max(0, level-refill)
	}
	*m.count(slot)++
	return true
}

func (m *submissionMeter) count(slot int64) *uint32 {
	return &m.counts[(slot%meterSlots+meterSlots)%meterSlots]
}

// advance makes the given slot the newest one, unless the newest one is later already.
func (m *submissionMeter) advance(slot int64, refill float64) {
	if !m.started {
		m.started, m.newest = true, slot
	}
	for n := 0; m.newest < slot; n++ {
		if n == meterSlots {
			// All slots are empty.
			m.level = max(0, m.level-refill*float64(slot-m.newest))
			m.newest = slot
			return
		}
		m.newest++
		// The slot that the newest one replaces.
		count := m.count(m.newest)
		m.level = max(0, m.level+float64(*count)-refill)
		*count = 0
	}
}

// offer counts a job that was accepted while a share of its like was admitted; 0 if all were.
func (m *submissionMeter) offer(at time.Time, weight, admittedShare float64) {
	jobs := 1.
	if admittedShare > 0 && admittedShare < 1 {
		jobs = 1 / max(admittedShare, 1-maxExcessShare)
	}
	if m.offeredAt.IsZero() {
		m.offeredAt, m.tokens = at, max(bucketDepth(weight), jobs)
	}
	if passed := at.Sub(m.offeredAt); passed > 0 {
		keep := math.Exp(-passed.Seconds() / offeredWindow.Seconds())
		m.offered, m.beyondWeight = m.offered*keep, m.beyondWeight*keep
		depth := bucketDepth(weight)
		if jobs > 1 {
			// The jobs were submitted since the last accepted one, and took tokens that a full bucket would not hold.
			depth = max(depth, representedDepthFactor*jobs)
		}
		m.tokens = min(m.tokens+weight*passed.Seconds(), depth)
		m.offeredAt = at
	}
	with := min(jobs, m.tokens)
	m.tokens -= with
	m.offered += jobs
	m.beyondWeight += jobs - with
}

// excessShare returns the share of the account's recent jobs that had no token. It falls while no jobs arrive.
func (m *submissionMeter) excessShare(now time.Time, weight float64) float64 {
	if m.beyondWeight == 0 {
		return 0
	}
	keep := math.Exp(-max(0, now.Sub(m.offeredAt).Seconds()) / offeredWindow.Seconds())
	return min(m.beyondWeight*keep/max(m.offered*keep, weight*offeredWindow.Seconds()), maxExcessShare)
}
