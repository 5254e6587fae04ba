package framework

import "rhubarbstall.example/sched/cache"

// Permit decides whether a task may start now on any worker. If not, it returns the
// reason.
type Permit interface {
	Permit(t *Task) (reason string, ok bool)
}

// Filter rejects workers that cannot take a task.
type Filter interface {
	// Name returns the name of the filter in explanations. It must not change
	// between releases.
	Name() string
	Allow(t *Task, n *cache.Node) bool
}

// Candidates proposes workers in addition to those that the index of the cache finds.
// At most maxExtraCandidates of them are considered.
type Candidates interface {
	Candidates(t *Task) []*cache.Node
}

// Score rates workers that all filters allow. The worker with the highest sum of all
// scores is chosen.
type Score interface {
	Score(t *Task, n *cache.Node) float64
}

// Reserve accounts for the start of a task, and Release for its end.
type Reserve interface {
	Reserve(t *Task, n *cache.Node)
	Release(t *Task, n *cache.Node)
}
