package health

import "time"

// failure is a failed attempt in the history of a worker or a job.
type failure struct {
	// counterpart is the job that failed on the worker, or the worker or rack on which
	// the job failed.
	counterpart string
	at          time.Time
}

// failureHistory holds the recent failures of a worker or a job. While suspended is
// set, the worker is quarantined or the job is parked, until a probe succeeds.
type failureHistory struct {
	failures   []failure
	suspended  bool
	probing    bool
	probeAt    time.Time
	probeDelay time.Duration
}

// add records a failure and drops those older than failureWindow. It replaces an earlier
// one with the same counterpart, so that the history counts distinct counterparts.
func (h *failureHistory) add(now time.Time, counterpart string) {
	kept := h.failures[:0]
	for _, f := range h.failures {
		if f.counterpart != counterpart && now.Sub(f.at) < failureWindow {
			kept = append(kept, f)
		}
	}
	h.failures = append(kept, failure{counterpart, now})
}

func (h *failureHistory) removeFailures(counterpart string) {
	kept := h.failures[:0]
	for _, f := range h.failures {
		if f.counterpart != counterpart {
			kept = append(kept, f)
		}
	}
	h.failures = kept
}

// suspend starts or extends the quarantine or parking. Each time, the delay until the
// next probe doubles.
func (h *failureHistory) suspend(now time.Time) {
	h.probeDelay = min(max(2*h.probeDelay, firstProbeDelay), maxProbeDelay)
	h.suspended, h.probing, h.probeAt = true, false, now.Add(h.probeDelay)
}
