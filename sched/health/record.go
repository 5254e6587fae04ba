package health

import "time"

// failure is a failed attempt, seen from a worker or a job.
type failure struct {
	other string
	at    time.Time
}

// record is the failure history of a worker or a job.
type record struct {
	failures []failure
	held     bool
	probing  bool
	probeAt  time.Time
	delay    time.Duration
}

func (r *record) add(now time.Time, other string) {
	kept := r.failures[:0]
	for _, f := range r.failures {
		if f.other != other && now.Sub(f.at) < window {
			kept = append(kept, f)
		}
	}
	r.failures = append(kept, failure{other, now})
}

func (r *record) drop(other string) {
	kept := r.failures[:0]
	for _, f := range r.failures {
		if f.other != other {
			kept = append(kept, f)
		}
	}
	r.failures = kept
}

func (r *record) hold(now time.Time) {
	r.delay = min(max(2*r.delay, firstDelay), maxDelay)
	r.held, r.probing, r.probeAt = true, false, now.Add(r.delay)
}
