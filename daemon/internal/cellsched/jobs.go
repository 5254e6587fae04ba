package cellsched

import (
	"context"
	"time"

	"rhubarbstall.example/sched/cell"
)

// Submission is an accepted job that an entry VM passes to the scheduler or to another VM.
type Submission struct {
	ID    string `json:"id"`
	Value []byte `json:"value"`
}

// Submit adds a stored job to the scheduler. It fails if the job cannot be decoded. Until the
// stored jobs are loaded it adds nothing, because the load or the watch after it finds the job.
func (s *Scheduler) Submit(sub Submission) error {
	j, err := DecodeJob(sub.ID, sub.Value)
	if err != nil {
		return err
	}
	s.exclusive(func() {
		if s.jobsLoaded {
			s.cell.AddJob(time.Now(), j, nil)
		}
	})
	s.requestDecision()
	return nil
}

// JobStatus is what the scheduler knows of a job.
type JobStatus struct {
	Known bool          `json:"known"`
	State cell.JobState `json:"state"`
	// ClientAccount is the account that the job belongs to; empty if it belongs to none.
	ClientAccount string `json:"account,omitempty"`
}

// State returns what the scheduler knows of a job. It returns a final state only once it is stored.
func (s *Scheduler) State(id string) JobStatus {
	s.mu.Lock()
	defer s.unlock()
	j := s.cell.Job(id)
	if j == nil {
		return JobStatus{}
	}
	return JobStatus{Known: true, State: visibleState(j), ClientAccount: j.ClientAccount}
}

// Cancel cancels a job for a client account and returns once the job's final state is stored; false if the scheduler
// does not know the job, or it belongs to another account.
func (s *Scheduler) Cancel(ctx context.Context, id, account string) (bool, error) {
	known := false
	s.exclusive(func() {
		if j := s.cell.Job(id); j != nil && cell.MayAccess(account, j.ClientAccount) {
			known = s.cell.Cancel(time.Now(), id)
		}
	})
	if !known {
		return false, nil
	}
	s.requestDecision()
	signal(s.statesDirty)
	for {
		var statesStored chan struct{}
		done := false
		s.exclusive(func() {
			j := s.cell.Job(id)
			statesStored = s.statesStored
			done = j == nil || visibleState(j).Final()
		})
		if done {
			return true, nil
		}
		select {
		case <-statesStored:
		case <-ctx.Done():
			return true, ctx.Err()
		case <-s.ctx.Done():
			return true, s.ctx.Err()
		}
	}
}

// Pending returns the number of jobs in a queue that had neither ended nor started any task a moment
// ago; false until the jobs are loaded.
func (s *Scheduler) Pending(queue string) (int, bool) {
	load, loaded := s.Load(time.Now())
	return load.Pending[queue], loaded
}
