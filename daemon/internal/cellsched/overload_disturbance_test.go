package cellsched

import "time"

// disturbance is the time of an injected disturbance; end is zero while it lasts.
type disturbance struct{ begin, end time.Time }

// beginDisturbance records a disturbance and returns the function that records its end.
func (s *loadSim) beginDisturbance() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, disturbance{begin: time.Now()})
	n := len(s.disturbances) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances[n].end = time.Now()
	}
}

// undisturbed reports whether no disturbance lasted at a time or ended within contactTimeout
// before it. The caller holds s.mu.
func (s *loadSim) undisturbed(at time.Time) bool {
	for _, x := range s.disturbances {
		if at.After(x.begin) && (x.end.IsZero() || at.Before(x.end.Add(contactTimeout))) {
			return false
		}
	}
	return true
}
