package plugins

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/model"
)

// Health rejects workers that are not live or are quarantined. A quarantined worker
// that is being probed takes one task at a time. It takes no NoRepeat task and no
// task of a gang, since one failure would lose the work of the whole gang.
type Health struct{}

// Name implements framework.Filter.
func (Health) Name() string { return "state" }

// Allow implements framework.Filter.
func (Health) Allow(t *framework.Task, n *cache.Node) bool {
	return n.Usable() && !(n.Quarantined && (t.Job.NoRepeat || t.Job.Type == model.Gang))
}
