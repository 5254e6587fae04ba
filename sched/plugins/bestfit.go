package plugins

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
)

// BestFit packs tasks tightly. It prefers workers where few resources remain free,
// and where the free shares of processor time and memory are nearly equal.
type BestFit struct{}

// Score implements framework.Score.
func (BestFit) Score(t *framework.Task, n *cache.Node) float64 {
	if t.TasksByRack != nil {
		return 0
	}
	left := n.Free().Sub(t.Size)
	cpu := share(left.MilliCPU, n.Capacity.MilliCPU)
	mem := share(left.MemoryMB, n.Capacity.MemoryMB)
	// Unequal free shares are penalized: if one resource is used up, the rest of the
	// other is stranded.
	return -(cpu + mem) - 0.5*abs(cpu-mem)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func abs(x float64) float64 { return max(x, -x) }
