package jobs

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/model"
)

// attemptsPerTerm is the number of attempts of a task that one term may make
// before its numbers meet those of the next term.
const attemptsPerTerm = 1000

// recovered returns the unfinished jobs of earlier terms in order of submission.
// Jobs accepted in this term are not among them, since the engine has them.
func (g *ledger) recovered(found func(job string, index int) bool) []model.Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*record
	for _, r := range g.records {
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
			g.markDirty(r.segment)
			g.log.Warn("[jobs] outcome of tasks that must not be repeated is unknown", zap.String("job", r.ID), zap.Int("tasks", lost))
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
		jobs = append(jobs, r.model(g.generation*attemptsPerTerm+1))
	}
	return jobs
}

// reject ends every open task of a job that the engine can never run.
func (g *ledger) reject(id string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[id]
	if !ok {
		return
	}
	for i := range r.Spec.Tasks {
		if !r.ended(i) {
			r.Failed.add(i)
		}
	}
	r.Message = truncate(err.Error(), maxMessage)
	g.markDirty(r.segment)
}
