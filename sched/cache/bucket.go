package cache

import "math/bits"

const (
	// bucketsPerResource is 64 because a mask has one bit for each bucket.
	bucketsPerResource = 64
	// With these units the last bucket begins at 14,336 cores and 7 TB.
	cpuUnitMilliCPU = 125
	memoryUnitMB    = 64
)

// bucketOf returns the bucket of an amount. Larger amounts never have a smaller
// bucket. Below four units, each unit has a bucket. Above, there are four buckets for
// each power of two, so amounts in a bucket differ by at most a quarter. The last
// bucket has no upper limit.
func bucketOf(amount, unit int64) int {
	if amount <= 0 {
		return 0
	}
	x := uint64(amount / unit)
	if x < 4 {
		return int(x)
	}
	top := bits.Len64(x) - 1
	return min(top*4+int(x>>(top-2)&3)-4, bucketsPerResource-1)
}
