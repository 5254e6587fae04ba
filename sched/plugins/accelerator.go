package plugins

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
)

// Accelerator makes tasks that need no accelerators prefer workers without them, and
// then workers with few free ones. The penalty outweighs the score of BestFit, which
// lies between -2 and 0.
type Accelerator struct{}

// Score implements framework.Score.
func (Accelerator) Score(t *framework.Task, n *cache.Node) float64 {
	if t.Size.Accelerators > 0 || n.Capacity.Accelerators == 0 {
		return 0
	}
	return -5 - share(n.Free().Accelerators, n.Capacity.Accelerators)
}
