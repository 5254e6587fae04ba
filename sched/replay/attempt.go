package replay

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// attempt is an attempt of a task that runs on a simulated worker.
type attempt struct {
	placement model.Placement
	job       *replayedJob
	startMS   int64
	// endMS is the time at which the work will be done at the current speed.
	endMS int64
	// ended means that the attempt no longer runs.
	ended bool
	// endVersion is incremented when endMS changes, which invalidates earlier timers.
	endVersion int
	throttled  bool
}

// used returns the resources in use. Memory starts at 30% of its peak and reaches the
// peak after a fifth of the run time.
func (a *attempt) used(nowMS int64) model.Resources {
	r := a.job.spec.Size()
	length := max(a.endMS-a.startMS, 1)
	perMille := min(1000, 300+700*5*(nowMS-a.startMS)/length)
	r.MemoryMB = a.job.spec.UsedMemoryMB * perMille / 1000
	return r
}

// replayedJob is the state of a job during a replay.
type replayedJob struct {
	spec      *JobSpec
	arrivedMS int64
	// savedMS is the progress of each task that checkpoints have saved; started and
	// succeeded are indexed by task, too.
	savedMS   []int64
	started   []bool
	succeeded []bool
	tasksLeft int
	cancelled bool
}

func newReplayedJob(spec *JobSpec, arrivedMS int64) *replayedJob {
	return &replayedJob{spec: spec, arrivedMS: arrivedMS, savedMS: make([]int64, spec.Tasks), started: make([]bool, spec.Tasks), succeeded: make([]bool, spec.Tasks), tasksLeft: spec.Tasks}
}

// remaining returns the run time that a new attempt of a task needs. A service ends at
// a fixed time, regardless of when its attempts start.
func (j *replayedJob) remaining(nowMS int64, index int) time.Duration {
	if j.spec.Type == model.Service {
		return max(time.Duration(j.arrivedMS+j.spec.RunMS-nowMS), 1) * time.Millisecond
	}
	return max(j.spec.RunTime(index)-time.Duration(j.savedMS[index])*time.Millisecond, time.Millisecond)
}
