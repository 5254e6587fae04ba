package jobs

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/model"
)

// attemptsPerTerm is the number of attempt numbers per task that one term may use
// without reaching those of the next term.
const attemptsPerTerm = 1000

// unfinishedJobs returns the unfinished jobs of earlier terms in order of submission.
// It omits jobs that were submitted in this term, because the engine already has them.
// The function found reports whether a worker reported an attempt of a task. A task
// that must not be repeated, has a stored start intent and was not found gets the
// outcome Unknown.
func (js *jobStore) unfinishedJobs(found func(job string, index int) bool) []model.Job {
	js.mu.Lock()
	defer js.mu.Unlock()
	var list []*record
	for _, r := range js.records {
		if !r.loaded || r.cancelStored || r.endedCount() >= r.Spec.Tasks {
			continue
		}
		list = append(list, r)
		if !r.Spec.NoRepeat {
			continue
		}
		lost := 0
		for i := range r.Intended.all() {
			if !r.ended(i) && !found(r.ID, i) && r.Unknown.add(i) {
				lost++
			}
		}
		if lost > 0 {
			js.markDirty(r.segment)
			js.log.Warn("[jobs] outcome of tasks that must not be repeated is unknown", zap.String("job", r.ID), zap.Int("tasks", lost))
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	jobs := make([]model.Job, 0, len(list))
	for _, r := range list {
		jobs = append(jobs, r.model(js.generation*attemptsPerTerm+1))
	}
	return jobs
}

// failJob marks every unfinished task of a job as failed, because the engine can
// never run the job.
func (js *jobStore) failJob(id string, err error) {
	js.mu.Lock()
	defer js.mu.Unlock()
	r, ok := js.records[id]
	if !ok {
		return
	}
	for i := range r.Spec.Tasks {
		if !r.ended(i) {
			r.Failed.add(i)
		}
	}
	r.Message = truncate(err.Error(), maxMessageBytes)
	js.markDirty(r.segment)
}
