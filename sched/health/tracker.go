package health

import "time"

// Tracker keeps the failure history of workers and jobs.
type Tracker struct {
	workers map[string]*failureHistory
	jobs    map[string]*failureHistory
	// quarantinedWorkers and parkedJobs are in the order in which they were suspended.
	quarantinedWorkers []string
	parkedJobs         []string
	outages            outageDetector
}

// FailureSite describes where an attempt failed.
type FailureSite struct {
	Worker, Rack string
	// RackWorkers is the number of workers of the rack; Racks and Workers are the
	// numbers of racks and workers of the zone.
	RackWorkers, Racks, Workers int
}

// New returns a tracker without history.
func New() *Tracker {
	return &Tracker{workers: map[string]*failureHistory{}, jobs: map[string]*failureHistory{}}
}

// historyOf returns the history of an ID and creates it if there is none.
func historyOf(histories map[string]*failureHistory, id string) *failureHistory {
	h := histories[id]
	if h == nil {
		h = &failureHistory{}
		histories[id] = h
	}
	return h
}

// RecordFailure records a failed attempt. It reports whether the worker must be
// quarantined and whether the job must be parked, in both cases also after a failed
// probe.
func (t *Tracker) RecordFailure(now time.Time, site FailureSite, job string) (quarantine, park bool) {
	failedUnit := site.Worker
	scope := t.outages.add(now, failedAttempt{now, site.Worker, site.Rack, job}, site.RackWorkers, site.Racks)
	switch scope {
	case scopeZone:
		return false, false
	case scopeRack:
		failedUnit = "rack " + site.Rack
	}
	j := historyOf(t.jobs, job)
	j.add(now, failedUnit)
	if j.suspended && j.probing || !j.suspended && len(j.failures) >= failureThreshold {
		park = !j.suspended || j.probing
		if !j.suspended {
			t.parkedJobs = append(t.parkedJobs, job)
		}
		j.suspend(now)
		// The job is considered the cause, so its failures no longer count against workers.
		for _, f := range j.failures {
			if w := t.workers[f.counterpart]; w != nil {
				w.removeFailures(job)
			}
		}
		return false, park
	}
	if scope == scopeRack || j.suspended {
		return false, false
	}
	w := historyOf(t.workers, site.Worker)
	w.add(now, job)
	switch {
	case w.suspended && w.probing:
		w.suspend(now)
		return true, false
	case !w.suspended && len(w.failures) >= failureThreshold && 100*(len(t.quarantinedWorkers)+1) <= max(maxQuarantinedPercent*site.Workers, 100):
		w.suspend(now)
		t.quarantinedWorkers = append(t.quarantinedWorkers, site.Worker)
		// The worker is considered the cause, so failures on it no longer count against
		// jobs.
		for _, f := range w.failures {
			if j := t.jobs[f.counterpart]; j != nil {
				j.removeFailures(site.Worker)
			}
		}
		return true, false
	}
	return false, false
}

// RecordSuccess records a successful attempt and clears the history of its worker and
// its job. It reports whether the worker leaves quarantine, and whether the job is no
// longer parked.
func (t *Tracker) RecordSuccess(worker, job string) (workerReleased, jobReleased bool) {
	if w := t.workers[worker]; w != nil {
		workerReleased = w.suspended
		delete(t.workers, worker)
		t.quarantinedWorkers = removeID(t.quarantinedWorkers, worker)
	}
	if j := t.jobs[job]; j != nil {
		jobReleased = j.suspended
		delete(t.jobs, job)
		t.parkedJobs = removeID(t.parkedJobs, job)
	}
	return workerReleased, jobReleased
}

func removeID(list []string, id string) []string {
	for i, x := range list {
		if x == id {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// ForgetWorker drops the history of a worker that was removed or replaced.
func (t *Tracker) ForgetWorker(id string) {
	delete(t.workers, id)
	t.quarantinedWorkers = removeID(t.quarantinedWorkers, id)
}

// ForgetJob drops the history of a job.
func (t *Tracker) ForgetJob(id string) {
	delete(t.jobs, id)
	t.parkedJobs = removeID(t.parkedJobs, id)
}

// StartDueProbes returns the workers and jobs whose probe is due, and marks them as
// probing. next is the time of the next probe, zero if there is none.
func (t *Tracker) StartDueProbes(now time.Time) (workers, jobs []string, next time.Time) {
	due := func(suspended []string, histories map[string]*failureHistory) (out []string) {
		for _, id := range suspended {
			h := histories[id]
			switch {
			case h.probing:
			case !h.probeAt.After(now):
				h.probing = true
				out = append(out, id)
			case next.IsZero() || h.probeAt.Before(next):
				next = h.probeAt
			}
		}
		return out
	}
	workers = due(t.quarantinedWorkers, t.workers)
	jobs = due(t.parkedJobs, t.jobs)
	return workers, jobs, next
}

// RescheduleProbe schedules another probe of a job after the same delay, because the
// current probe ended without showing whether the job works. It does nothing if the
// job is not being probed.
func (t *Tracker) RescheduleProbe(now time.Time, job string) {
	if j := t.jobs[job]; j != nil && j.suspended && j.probing {
		j.probing, j.probeAt = false, now.Add(j.probeDelay)
	}
}
