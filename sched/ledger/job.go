package ledger

import "rhubarbstall.example/sched/model"

// Job is a submitted job with the state of its tasks.
type Job struct {
	model.Job
	// Seq is the position of the job in the order of arrival.
	Seq        uint64
	TaskStates []Task
	// Waiting is the number of waiting tasks, Active that of tasks that hold resources.
	Waiting   int
	Active    int
	Cancelled bool
	// Parked keeps the waiting tasks of the job from starting after repeated failures.
	Parked bool
	// EngineState is data that the engine attaches to the job.
	EngineState any
	// removed means that the job is deleted when its last attempt ends.
	removed bool
}

func newJob(j model.Job, seq uint64) *Job {
	job := &Job{Job: j, Seq: seq, TaskStates: make([]Task, j.Tasks)}
	readyNanos := j.Submitted.UnixNano()
	for i := range job.TaskStates {
		task := &job.TaskStates[i]
		task.ReadyNanos = readyNanos
		if nextAttempt := j.NextAttempt[i]; nextAttempt > 1 {
			task.Attempt = int32(nextAttempt - 1)
		}
		if j.Done[i] {
			task.Phase = Ended
			continue
		}
		job.Waiting++
	}
	job.Done, job.NextAttempt = nil, nil
	return job
}
