package cellsched

import (
	"math"
	"math/rand/v2"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

const (
	// maxLoadAge is how long a reading of the scheduler's load is valid. The load arrives with
	// the answer to a heartbeat call, one each helloInterval, of which a few may fail.
	maxLoadAge = 3 * time.Second
	// maxPendingAge is how old a load report may be to answer questions for pending jobs from it.
	maxPendingAge = 1500 * time.Millisecond
	// minAdmittedShare is the smallest share of admitted jobs in a job's record, which has two digits: 0 means that all were.
	minAdmittedShare = 0.01
	// jobMemoryShare is the share of a VM's memory that the jobs known to the scheduler may
	// take. The rest is for connections, copies of records that are being written to the
	// store, and garbage that is not collected yet.
	jobMemoryShare = 0.25
)

// loadReading is the scheduler's load as last reported to this VM, and when the report arrived.
type loadReading struct {
	load   cell.Load
	readAt time.Time
}

// JobMemoryBytes returns the memory that known jobs may take on a VM with vmMB MB of memory.
func JobMemoryBytes(vmMB int) int64 { return int64(float64(vmMB) * jobMemoryShare * (1 << 20)) }

// Load returns the scheduler's current load; false until the jobs are loaded, since that of the jobs loaded so far
// says nothing about the others.
func (s *Scheduler) Load(now time.Time) (cell.Load, bool) {
	s.mu.Lock()
	defer s.unlock()
	if !s.jobsLoaded {
		return cell.Load{}, false
	}
	return s.cell.Load(now), true
}

// CheckAdmission returns nil if the job may be accepted, or if this VM does not know the
// scheduler's load. It fails with QueueFull if the known jobs take too much memory, with BeyondWeight if the job's
// account submits more than its weight, with TooLate
// if the job would wait too long, and with MalformedBody if the body cannot be decoded. The first
// three say when the caller should retry, with random jitter, so that rejected callers do
// not retry simultaneously. It records in the header which share of such jobs is admitted.
func (c *Client) CheckAdmission(now time.Time, id string, h *JobHeader, body []byte) error {
	load, known := c.knownLoad(now)
	if !known {
		return nil
	}
	if ok, after := load.AdmitsByMemory(c.jobMemoryBytes); !ok {
		return codes.QueueFull.With("the cell has too many waiting jobs", codes.RetryAfter(withJitter(after)))
	}
	q, ok := c.local.queue(h.Queue)
	if !ok || !load.MayReject(h.ClientAccount, h.Queue) {
		return nil
	}
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return codes.MalformedBody.Errorf("%w", err)
	}
	a := load.AdmitsByWait(&q, h.ClientAccount, spec, id)
	switch {
	case a.Excess:
		return codes.BeyondWeight.With("the client account submits more jobs than its weight allows, and the queue has work that waits", codes.RetryAfter(withJitter(a.RetryAfter)))
	case !a.Admitted:
		return codes.TooLate.With("the work scheduled before the job takes longer than the job may wait", codes.RetryAfter(withJitter(a.RetryAfter)))
	}
	if h.ClientAccount != "" && a.AdmittedShare < 1 {
		h.AdmittedShare = max(minAdmittedShare, math.Round(100*a.AdmittedShare)/100)
	}
	return nil
}

// knownLoad returns the scheduler's load; false if this VM does not know it.
func (c *Client) knownLoad(now time.Time) (cell.Load, bool) {
	if s := c.local.Current(); s != nil {
		if load, loaded := s.Load(now); loaded {
			return load, true
		}
	}
	if r := c.schedulerLoad.Load(); r != nil && now.Sub(r.readAt) < maxLoadAge {
		return r.load, true
	}
	return cell.Load{}, false
}

// withJitter returns d plus up to half of d at random.
func withJitter(d time.Duration) time.Duration { return d + rand.N(d/2+1) }
