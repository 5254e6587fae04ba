package replay

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// attempt is a task that runs on a simulated worker.
type attempt struct {
	placement model.Placement
	job       *jobRun
	startMS   int64
	// endMS is when the work would be done, ended that it no longer runs.
	endMS   int64
	ended   bool
	version int
	slow    bool
}

// used returns the memory in use; it reaches its peak after a fifth of the run.
func (a *attempt) used(now int64) model.Resources {
	r := a.job.spec.Size()
	length := max(a.endMS-a.startMS, 1)
	part := min(1000, 300+700*5*(now-a.startMS)/length)
	r.MemoryMB = a.job.spec.UsedMemoryMB * part / 1000
	return r
}

// jobRun is a job during a replay.
type jobRun struct {
	spec *JobSpec
	at   int64
	// doneMS is the saved progress of each task.
	doneMS  []int64
	started []bool
	// succeeded holds the tasks whose work counts.
	succeeded []bool
	left      int
	over      bool
}

func newJobRun(spec *JobSpec, at int64) *jobRun {
	return &jobRun{spec: spec, at: at, doneMS: make([]int64, spec.Tasks), started: make([]bool, spec.Tasks), succeeded: make([]bool, spec.Tasks), left: spec.Tasks}
}

// remaining returns the run time that a new attempt of a task needs. A service
// runs until a fixed time, whenever its attempts start.
func (j *jobRun) remaining(now int64, index int) time.Duration {
	if j.spec.Type == model.Service {
		return max(time.Duration(j.at+j.spec.RunMS-now), 1) * time.Millisecond
	}
	return max(j.spec.RunTime(index)-time.Duration(j.doneMS[index])*time.Millisecond, time.Millisecond)
}
