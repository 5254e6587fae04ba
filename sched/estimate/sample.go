package estimate

import "slices"

const (
	sampleSize = 64
	// sortEvery bounds the cost of an observation.
	sortEvery = 8
)

// sample keeps the latest observations of a quantity.
type sample struct {
	ring   [sampleSize]float32
	sorted [sampleSize]float32
	seen   int
	fresh  int
}

func (s *sample) add(x float64) {
	s.ring[s.seen%sampleSize] = float32(x)
	s.seen++
	s.fresh++
	if s.fresh >= sortEvery || s.seen <= sortEvery {
		n := s.len()
		copy(s.sorted[:n], s.ring[:n])
		slices.Sort(s.sorted[:n])
		s.fresh = 0
	}
}

func (s *sample) len() int { return min(s.seen, sampleSize) }

// quantile returns the observation below which a share q of the others lies.
func (s *sample) quantile(q float64) float64 {
	n := s.len() - s.fresh
	if n < 1 {
		return 0
	}
	return float64(s.sorted[min(int(q*float64(n)), n-1)])
}
