package baseline

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Explain returns the reason why a job waits, or its state. It returns false if the job
// is unknown.
func (e *Engine) Explain(now time.Time, id string) (model.Explanation, bool) {
	j := e.jobs.Job(id)
	if j == nil {
		return model.Explanation{}, false
	}
	switch {
	case j.Cancelled:
		return model.Explanation{Reason: "cancelled", Sentence: "The job is cancelled."}, true
	case j.Waiting == 0 && j.Active == 0:
		return model.Explanation{Reason: "finished", Sentence: "Every task has ended."}, true
	case j.Waiting == 0:
		return model.Explanation{Reason: "running", Sentence: "Every task that has not ended is running."}, true
	}
	for i := range j.TaskStates {
		t := &j.TaskStates[i]
		if t.Phase == ledger.Waiting && t.ReadyNanos > now.UnixNano() {
			return model.Explanation{Reason: "backoff", Sentence: "A task waits before its next attempt."}, true
		}
	}
	x := model.Explanation{Reason: "no_capacity", Sentence: "No worker has room for the next task.", Rejected: map[string]int{}}
	for _, w := range e.workers.list {
		switch {
		case !w.registered:
		case w.State != model.WorkerLive:
			x.Rejected["state"]++
		case !w.canHold(j.Size):
			x.Rejected["fit"]++
		}
	}
	return x, true
}

// Workers returns the registered workers, sorted by ID.
func (e *Engine) Workers() []model.WorkerView {
	var out []model.WorkerView
	for _, w := range e.workers.list {
		if w.registered {
			out = append(out, model.WorkerView{Worker: w.Worker, Reserved: w.reserved, Running: w.running})
		}
	}
	return out
}

// Queues returns statistics of the waiting tasks by department and kind.
func (e *Engine) Queues(now time.Time) []model.QueueStat {
	type key struct{ department, kind string }
	stats := map[key]*model.QueueStat{}
	for _, queued := range e.queue {
		j := queued.job
		if j.Cancelled || j.Waiting == 0 || e.queuedJobs[j.ID] != queued {
			continue
		}
		k := key{j.Department, j.Kind}
		s := stats[k]
		if s == nil {
			s = &model.QueueStat{Department: j.Department, Kind: j.Kind}
			stats[k] = s
		}
		s.Waiting += j.Waiting
		s.Oldest = max(s.Oldest, now.Sub(j.Submitted))
	}
	out := make([]model.QueueStat, 0, len(stats))
	for _, s := range stats {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b model.QueueStat) int {
		return cmp.Or(strings.Compare(a.Department, b.Department), strings.Compare(a.Kind, b.Kind))
	})
	return out
}
