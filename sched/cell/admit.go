package cell

import "time"

// Admission by memory limits the memory of the known jobs. When far more jobs arrive than
// the cell can run, the records of the waiting jobs would otherwise fill the memory of the
// scheduler, and of each scheduler that takes over after it.

const (
	// bytesPerJob is the memory that a known job of one step takes, without the payload, bytesPerStep that of each
	// further step and bytesPerDependency that of each number in its list. bytesPerGroup and bytesPerTask are
	// that of each further step and of each task in an open occurrence; see BenchmarkKnownTasks.
	bytesPerJob        = 1200
	bytesPerStep       = 200
	bytesPerDependency = 8
	bytesPerGroup      = 650
	bytesPerTask       = 180
	// rateWindow is the time over which the rate of ending jobs is measured.
	rateWindow = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller is asked
	// to retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Load is the scheduler's load, by which new jobs are admitted or rejected.
type Load struct {
	// Open is the number of jobs that have not ended.
	Open int `json:"open"`
	// Bytes is the estimated memory of all known jobs.
	Bytes int64 `json:"bytes"`
	// EndedPerSecond is the recent rate of jobs that end.
	EndedPerSecond float64 `json:"ended_per_second"`
	// ExpectedWaits holds, by queue, how long a new job is expected to wait before it
	// starts. Queues with a wait of at most minRejectedWait are left out.
	ExpectedWaits map[string]time.Duration `json:"waits,omitempty"`
	// Pending holds, by queue, the number of jobs that have neither ended nor started any task.
	// nil if an earlier release sent the load.
	Pending map[string]int `json:"pending,omitempty"`
	// Accounts is the load by client account; nil if the deployment has none, or an earlier release sent the load.
	Accounts *AccountLoads `json:"accounts,omitempty"`
}

// AdmitsByMemory reports whether another job may be accepted under a memory limit in bytes,
// where 0 means no limit; if not, it returns how long the caller should wait before a retry.
// A rejected job has not run and will not run.
func (l Load) AdmitsByMemory(limit int64) (bool, time.Duration) {
	if limit <= 0 || l.Bytes < limit {
		return true, 0
	}
	excess := float64(l.Bytes-limit) / float64(l.Bytes) * float64(l.Open)
	if l.EndedPerSecond <= 0 {
		return false, maxRetryAfter
	}
	retryAfter := time.Duration(excess / l.EndedPerSecond * float64(time.Second))
	return false, min(max(retryAfter, minRetryAfter), maxRetryAfter)
}

// Load returns the present load.
func (c *Cell) Load(now time.Time) Load {
	c.finishedJobs.advance(now)
	if now.Sub(c.cachedWaitsAt) >= cachedWaitsMaxAge {
		pools := c.poolLoads()
		c.cachedWaits, c.cachedPending, c.cachedWaitsAt = c.expectedWaits(pools), c.pendingJobs(), now
		c.observeExcess(now)
		c.cachedAccounts = c.accountLoads(now, pools)
	}
	return Load{
		Open: c.openJobs, Bytes: c.memoryBytes, EndedPerSecond: c.finishedJobs.perSecond(), ExpectedWaits: c.cachedWaits,
		Pending: c.cachedPending, Accounts: c.cachedAccounts,
	}
}

// ExpireLoad makes the next call of Load count everything again.
func (c *Cell) ExpireLoad() { c.cachedWaitsAt = time.Time{} }

// updateMemory updates the estimated memory of a job. At least one occurrence of it counts, since one will be
// open.
func (c *Cell) updateMemory(j *Job) {
	tasks, dependencies := 0, 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
		dependencies += len(j.Spec.Steps[i].DependsOn)
	}
	occurrences := max(1, len(j.occurrences))
	c.setMemory(j, j.endedBytes()+len(j.Spec.Payload)+len(j.finished.bits)+dependencies*bytesPerDependency+
		max(0, len(j.Spec.Steps)*occurrences-1)*bytesPerGroup+tasks*occurrences*bytesPerTask)
}

// endedBytes returns the estimated memory of a job of which only the state and the sizes of its tasks are kept.
func (j *Job) endedBytes() int { return bytesPerJob + max(0, len(j.Spec.Steps)-1)*bytesPerStep }

func (c *Cell) setMemory(j *Job, bytes int) {
	c.memoryBytes += int64(bytes) - j.memoryBytes
	j.memoryBytes = int64(bytes)
}

// dropTasks frees what a job no longer needs once its final state is stored; from then on
// only its state is kept, and the sizes of its tasks, since a runner may still list one.
func (c *Cell) dropTasks(j *Job) {
	for g := range j.openGroups() {
		// Runs that are being stopped still refer to the group.
		g.tasks = nil
	}
	j.occurrences, j.finished = nil, occurrenceSet{}
	j.Spec.Payload = ""
	for i := range j.Spec.Steps {
		j.Spec.Steps[i].DependsOn = nil
	}
	c.setMemory(j, j.endedBytes())
}

// windowedRate measures a rate over a window that is divided into two halves.
type windowedRate struct {
	halfStart         time.Time
	current, previous int
}

func (e *windowedRate) advance(now time.Time) {
	const half = rateWindow / 2
	for now.Sub(e.halfStart) >= half {
		e.previous, e.current = e.current, 0
		e.halfStart = e.halfStart.Add(half)
		if now.Sub(e.halfStart) >= rateWindow {
			e.halfStart, e.previous = now, 0
		}
	}
}

func (e *windowedRate) add(now time.Time) {
	e.advance(now)
	e.current++
}

// perSecond returns the rate of the previous half of the window or of the current one,
// whichever is higher.
func (e *windowedRate) perSecond() float64 {
	return float64(max(e.previous, e.current)) / (rateWindow / 2).Seconds()
}
