package ledger

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// JobTable is the table of the jobs of a zone.
type JobTable struct {
	jobs map[string]*Job
	seq  uint64
}

// NewJobTable returns an empty job table.
func NewJobTable() *JobTable {
	return &JobTable{jobs: map[string]*Job{}}
}

// Add adds a job. If the table already has a job with this ID, it returns that job
// and false.
func (jt *JobTable) Add(j model.Job) (*Job, bool) {
	if existing, ok := jt.jobs[j.ID]; ok {
		return existing, false
	}
	jt.seq++
	job := newJob(j, jt.seq)
	jt.jobs[j.ID] = job
	return job, true
}

// Job returns a job, nil if it is unknown or removed.
func (jt *JobTable) Job(id string) *Job {
	if j := jt.jobs[id]; j != nil && !j.removed {
		return j
	}
	return nil
}

// Each calls f for every job, in no particular order. This includes removed jobs that
// still have attempts.
func (jt *JobTable) Each(f func(*Job)) {
	for _, j := range jt.jobs {
		f(j)
	}
}

// FindRun returns the current attempt of a task if it is the one that ref names, nil
// otherwise.
func (jt *JobTable) FindRun(ref model.TaskRef) *Run {
	j := jt.jobs[ref.Job]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.TaskStates) {
		return nil
	}
	r := j.TaskStates[ref.Index].Run
	if r == nil || int(r.Attempt) != ref.Attempt {
		return nil
	}
	return r
}

// StartRun creates the next attempt of a waiting task.
func (jt *JobTable) StartRun(now time.Time, j *Job, index int, worker string, size model.Resources) *Run {
	task := &j.TaskStates[index]
	task.Attempt++
	task.Phase = Starting
	task.Run = &Run{Job: j, Index: int32(index), Attempt: task.Attempt, Worker: worker, Size: size, StartedAt: now}
	j.Waiting--
	j.Active++
	return task.Run
}

// MarkRunning records that the worker confirmed the start of an attempt.
func (jt *JobTable) MarkRunning(now time.Time, ref model.TaskRef) {
	if r := jt.FindRun(ref); r != nil && r.Job.TaskStates[r.Index].Phase == Starting {
		r.Job.TaskStates[r.Index].Phase = Running
		r.StartedAt = now
	}
}

// AdoptRun records an attempt that a worker reports as running, for example after a
// restart of the scheduler. It returns nil if the attempt must be stopped. isNew is
// false if the table already had the attempt.
func (jt *JobTable) AdoptRun(now time.Time, p model.Placement, age time.Duration) (run *Run, isNew bool) {
	j := jt.Job(p.Ref.Job)
	if j == nil || j.Cancelled || p.Ref.Index < 0 || p.Ref.Index >= len(j.TaskStates) || p.Ref.Attempt < 1 {
		return nil, false
	}
	task := &j.TaskStates[p.Ref.Index]
	if task.Run != nil {
		if int(task.Run.Attempt) != p.Ref.Attempt || task.Run.Worker != p.Worker {
			return nil, false
		}
		jt.MarkRunning(now, p.Ref)
		return task.Run, false
	}
	if task.Phase == Ended {
		return nil, false
	}
	task.Attempt = max(task.Attempt, int32(p.Ref.Attempt))
	task.Phase = Running
	task.Run = &Run{
		Job: j, Index: int32(p.Ref.Index), Attempt: int32(p.Ref.Attempt),
		Worker: p.Worker, Size: p.Size, StartedAt: now.Add(-age),
	}
	j.Waiting--
	j.Active++
	return task.Run, true
}

// Cancel ends the waiting tasks of a job. It returns the attempts that the caller has
// to stop, and the attempts whose starts were never sent. The latter are ended here
// and hold no resources any more.
func (jt *JobTable) Cancel(now time.Time, id string) (stop []model.Placement, unsent []*Run) {
	j := jt.jobs[id]
	if j == nil {
		return nil, nil
	}
	j.Cancelled = true
	j.Waiting = 0
	for i := range j.TaskStates {
		task := &j.TaskStates[i]
		switch {
		case task.Run == nil:
			task.Phase = Ended
		case task.Run.Unsent:
			unsent = append(unsent, task.Run)
			jt.endRun(now, task.Run, false, 0)
		default:
			task.Run.Stopping = true
			stop = append(stop, task.Run.Placement())
		}
	}
	return stop, unsent
}

// Remove cancels a job and deletes it after its last attempt has ended, so that the
// resources allocated to its attempts stay accounted for. It returns the attempts whose
// starts were never sent.
func (jt *JobTable) Remove(now time.Time, id string) []*Run {
	j := jt.jobs[id]
	if j == nil {
		return nil
	}
	_, unsent := jt.Cancel(now, id)
	j.removed = true
	jt.deleteIfDone(j)
	return unsent
}

// deleteIfDone deletes a removed job that has no attempts.
func (jt *JobTable) deleteIfDone(j *Job) {
	if j.removed && j.Active == 0 {
		delete(jt.jobs, j.ID)
	}
}
