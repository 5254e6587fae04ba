package plugins

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
)

// Fit rejects workers whose free resources do not suffice for the task.
type Fit struct{}

// Name implements framework.Filter.
func (Fit) Name() string { return "fit" }

// Allow implements framework.Filter.
func (Fit) Allow(t *framework.Task, n *cache.Node) bool { return t.Size.Fits(n.Free()) }
