package estimate

import "slices"

const (
	// maxSamples is the number of observations that are kept.
	maxSamples = 64
	// sortInterval is the number of observations after which the sample is sorted
	// again. Sorting less often bounds the cost of an observation.
	sortInterval = 8
)

// recentSample keeps the latest observations of a quantity. Quantiles are computed
// from a sorted copy, which lacks the latest observations until the next sort.
type recentSample struct {
	ring   [maxSamples]float32
	sorted [maxSamples]float32
	// count is the number of observations ever added, unsorted the number of those that
	// were added since the last sort.
	count    int
	unsorted int
}

func (s *recentSample) add(x float64) {
	s.ring[s.count%maxSamples] = float32(x)
	s.count++
	s.unsorted++
	if s.unsorted >= sortInterval || s.count <= sortInterval {
		n := s.len()
		copy(s.sorted[:n], s.ring[:n])
		slices.Sort(s.sorted[:n])
		s.unsorted = 0
	}
}

func (s *recentSample) len() int { return min(s.count, maxSamples) }

// quantile returns the q-quantile of the sorted observations, zero without any.
func (s *recentSample) quantile(q float64) float64 {
	n := s.len() - s.unsorted
	if n < 1 {
		return 0
	}
	return float64(s.sorted[min(int(q*float64(n)), n-1)])
}
