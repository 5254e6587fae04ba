package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/sched/queue"
)

// Explain returns what a job waits for; false if the job is unknown.
func (e *Engine) Explain(now time.Time, id string) (model.Explanation, bool) {
	j := e.jobs.Job(id)
	if j == nil {
		return model.Explanation{}, false
	}
	now = e.monotonic(now)
	st := stateOf(j)
	explain := func(reason, sentence string) (model.Explanation, bool) {
		return model.Explanation{Reason: reason, Sentence: sentence}, true
	}
	switch {
	case j.Cancelled:
		return explain("cancelled", "The job is cancelled.")
	case j.Waiting == 0 && j.Active == 0:
		return explain("finished", "Every task has ended.")
	case j.Waiting == 0:
		return explain("running", "Every task that has not ended is running.")
	case j.Parked:
		return explain("parked", "Tasks of the job failed on several workers; one is tried again later.")
	case st.entry.Peek(now) < 0:
		return explain("backoff", "A task waits before its next attempt.")
	case e.reservedGang == j:
		return explain("gang_reservation", "The start of all tasks is reserved.")
	}
	t := e.nextTask(j)
	x := model.Explanation{Rejected: map[string]int{}}
	for _, n := range e.cache.Nodes() {
		if !n.Registered {
			continue
		}
		if name := e.profile.RejectedBy(&t, n); name != "" {
			x.Rejected[name]++
		}
	}
	reason, ok := e.profile.Permit(&t)
	switch {
	case st.queue.QuotaNode.WouldExceedQuota(t.Size):
		x.Reason, x.Sentence = "quota", "The department is at its quota and borrows only idle capacity."
	case !ok:
		x.Reason, x.Sentence = reason, "The free capacity is reserved for urgent work."
	case j.Type == model.Gang && e.reservedGang != nil:
		x.Reason, x.Sentence = "gang_reservation", "Another gang has the gang reservation of the availability zone."
	default:
		x.Reason, x.Sentence = "no_capacity", "No worker has room for the next task."
	}
	return x, true
}

// Workers returns the registered workers in order of ID.
func (e *Engine) Workers() []model.WorkerView {
	out := make([]model.WorkerView, 0, e.cache.WorkerCount())
	for _, n := range e.cache.Nodes() {
		if !n.Registered {
			continue
		}
		v := model.WorkerView{Worker: n.Worker, Reserved: n.Allocated, Running: len(n.Runs)}
		if n.Quarantined && v.State == model.WorkerLive {
			v.State = model.WorkerQuarantined
		}
		out = append(out, v)
	}
	return out
}

// Queues returns the waiting tasks by department and kind, sorted.
func (e *Engine) Queues(now time.Time) []model.QueueStat {
	out := []model.QueueStat{}
	at := map[*queue.ClassQueue]int{}
	for _, cq := range e.classQueues {
		s := model.QueueStat{Department: cq.Department, Kind: cq.Kind}
		at[cq.ClassQueue] = len(out)
		out = append(out, s)
	}
	// Jobs in backoff are in no class queue, so all jobs of the ledger are read. Its
	// iteration order does not matter for sums and maxima.
	e.jobs.Each(func(j *ledger.Job) {
		if s := &out[at[stateOf(j).queue.ClassQueue]]; j.Waiting > 0 {
			s.Waiting += j.Waiting
			s.Oldest = max(s.Oldest, now.Sub(j.Submitted))
		}
	})
	out = slices.DeleteFunc(out, func(s model.QueueStat) bool { return s.Waiting == 0 })
	slices.SortFunc(out, func(a, b model.QueueStat) int {
		return cmp.Or(strings.Compare(a.Department, b.Department), strings.Compare(a.Kind, b.Kind))
	})
	return out
}
