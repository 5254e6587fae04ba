package admission

import "time"

const (
	// budgetWindow is the length of the sliding window, which is divided into
	// budgetBuckets buckets.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
	// budgetBurst is the number of retries allowed in addition to the percentage.
	// Otherwise an entry VM with few requests could not retry: 10% of nine requests is
	// rounded down to zero.
	budgetBurst = 3
)

// RetryBudget limits retries to a percentage of the requests in a sliding window.
type RetryBudget struct {
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	// last is the number of the newest bucket, counted from the Unix epoch.
	last int64
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.requests[b.slot(now)]++
}

// AllowRetry counts a retry if the budget of percent allows it; false if it is used up.
func (b *RetryBudget) AllowRetry(now time.Time, percent int) bool {
	i := b.slot(now)
	requests, retries := 0, 0
	for j := range budgetBuckets {
		requests += b.requests[j]
		retries += b.retries[j]
	}
	if retries >= budgetBurst+requests*percent/100 {
		return false
	}
	b.retries[i]++
	return true
}

// slot returns the index of the bucket of now, after clearing the buckets that have left
// the window.
func (b *RetryBudget) slot(now time.Time) int {
	n := now.UnixNano() / int64(budgetWindow/budgetBuckets)
	if n-b.last >= budgetBuckets {
		b.last = n - budgetBuckets
	}
	for b.last < n {
		b.last++
		b.requests[b.last%budgetBuckets] = 0
		b.retries[b.last%budgetBuckets] = 0
	}
	return int(max(n, b.last) % budgetBuckets)
}
