package cellsched

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets for each doubling of the duration. A quantile
	// is therefore too high by at most a quarter, or by 1 us if that is more.
	bucketsPerDoubling = 4
	// bucketCount buckets cover durations from 1 us to more than an hour.
	bucketCount = 32 * bucketsPerDoubling
)

// durationHistogram counts durations in buckets with fixed bounds. Recording takes no lock and
// allocates nothing. It is safe for concurrent use.
type durationHistogram struct {
	counts  [bucketCount]atomic.Uint32
	sum     atomic.Int64
	longest atomic.Int64
}

// bucketIndex returns the index of a duration's bucket. It is made of the position of the
// leading one bit of its microseconds and the two bits below it.
func bucketIndex(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < bucketsPerDoubling {
		return int(us)
	}
	high := bits.Len64(us) - 1
	return min((high-1)*bucketsPerDoubling+int(us>>(high-2))&(bucketsPerDoubling-1), bucketCount-1)
}

// bucketUpperBound returns the exclusive upper bound of a bucket.
func bucketUpperBound(i int) time.Duration {
	if i < bucketsPerDoubling {
		return time.Duration(i+1) * time.Microsecond
	}
	high := i/bucketsPerDoubling + 1
	return time.Duration(uint64(bucketsPerDoubling+i%bucketsPerDoubling+1)<<(high-2)) * time.Microsecond
}

func (h *durationHistogram) record(d time.Duration) {
	h.counts[bucketIndex(d)].Add(1)
	h.sum.Add(int64(d))
	for {
		old := h.longest.Load()
		if int64(d) <= old || h.longest.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

// durationSummary summarizes the durations that were recorded in an interval.
type durationSummary struct {
	count         int
	p50, p99, max time.Duration
	sum           time.Duration
}

// takeSummary returns a summary of the durations since the last call and resets the histogram.
func (h *durationHistogram) takeSummary() durationSummary {
	var counts [bucketCount]uint32
	var s durationSummary
	for i := range h.counts {
		counts[i] = h.counts[i].Swap(0)
		s.count += int(counts[i])
	}
	s.sum, s.max = time.Duration(h.sum.Swap(0)), time.Duration(h.longest.Swap(0))
	s.p50, s.p99 = quantile(&counts, (s.count+1)/2), quantile(&counts, s.count-s.count/100)
	if s.max > 0 {
		s.p50, s.p99 = min(s.p50, s.max), min(s.p99, s.max)
	}
	return s
}

// quantile returns the upper bound of the bucket that holds the nth smallest duration.
func quantile(counts *[bucketCount]uint32, nth int) time.Duration {
	for i, c := range counts {
		nth -= int(c)
		if c > 0 && nth <= 0 {
			return bucketUpperBound(i)
		}
	}
	return 0
}
