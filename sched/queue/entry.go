package queue

import (
	"time"

	"rhubarbstall.example/sched/ledger"
)

// Entry is a queued job with the order of its waiting tasks.
type Entry struct {
	Job   *ledger.Job
	Queue *ClassQueue
	// nextIndex is the first task index that Peek has not passed yet. requeued is a
	// stack of task indexes that come before it.
	nextIndex int
	requeued  []int32
	// delayedTasks is the number of tasks in backoff.
	delayedTasks int
	queued       bool
	rank         int64
}

// Rank returns the sort key of the job in its class queue, lowest first, see rank.
func (e *Entry) Rank() int64 { return e.rank }

// longJobCreditFactor is the number of run times by which a job is ranked before its
// submission, so that long jobs overtake short ones: long tasks that start last leave
// most of the fleet idle at the end of a backlog.
const longJobCreditFactor = 8

// rank returns the submission time minus a credit for long run times, in Unix
// nanoseconds. The credit is at most a quarter of the patience, so that other jobs
// do not wait much longer. The rank of a job never changes, so that later jobs
// cannot starve earlier ones.
func rank(j *ledger.Job, patience time.Duration) int64 {
	return j.Submitted.UnixNano() - int64(min(longJobCreditFactor*j.RunTime, patience/4))
}

// Peek returns the index of the next ready task, or -1 if there is none.
func (e *Entry) Peek(now time.Time) int {
	if e.Job.Cancelled || e.Job.Parked || e.Job.Waiting == 0 {
		return -1
	}
	for len(e.requeued) > 0 {
		if i := e.requeued[len(e.requeued)-1]; e.isReady(int(i), now) {
			return int(i)
		}
		e.requeued = e.requeued[:len(e.requeued)-1]
	}
	for ; e.nextIndex < len(e.Job.TaskStates); e.nextIndex++ {
		if e.isReady(e.nextIndex, now) {
			return e.nextIndex
		}
	}
	return -1
}

func (e *Entry) isReady(i int, now time.Time) bool {
	t := &e.Job.TaskStates[i]
	return t.Phase == ledger.Waiting && t.ReadyNanos <= now.UnixNano()
}

// WaitingTasks returns the indexes of all waiting tasks, and whether all of them are
// ready. It reports false for a cancelled job.
func (e *Entry) WaitingTasks(now time.Time) (tasks []int, ready bool) {
	ready = true
	for i := range e.Job.TaskStates {
		if e.Job.TaskStates[i].Phase != ledger.Waiting {
			continue
		}
		tasks = append(tasks, i)
		ready = ready && e.isReady(i, now)
	}
	return tasks, ready && !e.Job.Cancelled
}
