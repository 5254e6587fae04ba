package cache

import "math/bits"

const (
	// buckets is the number of buckets per resource; one bit each in a mask.
	buckets = 64
	// The units make the top bucket begin at 4,096 cores and 16 TB.
	cpuUnit = 125
	memUnit = 64
)

// bucket maps an amount to a bucket, monotonically: four buckets for each
// doubling, which keeps the amounts in a bucket within a quarter of each other.
func bucket(amount, unit int64) int {
	if amount <= 0 {
		return 0
	}
	x := uint64(amount / unit)
	if x < 4 {
		return int(x)
	}
	top := bits.Len64(x) - 1
	return min(top*4+int(x>>(top-2)&3)-4, buckets-1)
}
