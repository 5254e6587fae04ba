package plugins

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/model"
)

// Health rejects workers that are not live or are quarantined. A worker on probe
// takes one task at a time, never one that must not be repeated and never one of a
// gang, since its failure would cost the work of all.
type Health struct{}

// Name implements framework.Filter.
func (Health) Name() string { return "state" }

// Allow implements framework.Filter.
func (Health) Allow(t *framework.Task, n *cache.Node) bool {
	return n.Usable() && !(n.Quarantined && (t.Job.NoRepeat || t.Job.Type == model.Gang))
}
