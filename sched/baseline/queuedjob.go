package baseline

import "rhubarbstall.example/sched/ledger"

// queuedJob is a job in the queue with the indexes of its waiting tasks.
type queuedJob struct {
	job     *ledger.Job
	waiting []int32
}

func newQueuedJob(j *ledger.Job) *queuedJob {
	queued := &queuedJob{job: j}
	for i := range j.TaskStates {
		if j.TaskStates[i].Phase == ledger.Waiting {
			queued.waiting = append(queued.waiting, int32(i))
		}
	}
	return queued
}
