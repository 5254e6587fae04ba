package plugins

import (
	"math"
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/model"
)

const (
	// peakHalfLife is the half-life of the recorded peak usage of urgent tasks.
	peakHalfLife = 15 * time.Minute
	// peakMarginFactor times the recorded peak usage is reserved.
	peakMarginFactor = 1.1
	// startupShare is the least share of the workers that is reserved for
	// startupPeriod after the first update, when no usage is known yet.
	startupShare  = 0.02
	startupPeriod = 15 * time.Minute
	// startupMinWorkers is the least number of workers with which startupShare applies.
	// With fewer, the reserved part of one worker could leave no worker for large tasks.
	startupMinWorkers = 10
	// maxReservedShare bounds the share of the workers that is reserved.
	maxReservedShare = 0.5
)

// Headroom reserves capacity for urgent tasks according to their recent peak usage,
// so that they start without waiting for other tasks to end. It reserves whole
// workers where possible: the same capacity spread over all workers would be in
// pieces too small for a task.
type Headroom struct {
	cache *cache.Cache
	// inUse is the amount allocated to urgent tasks, peak its recent maximum.
	inUse         model.Resources
	peak          model.Resources
	updatedAt     time.Time
	startedAt     time.Time
	reservedNodes []*cache.Node
}

// NewHeadroom returns the plugin for the workers of c.
func NewHeadroom(c *cache.Cache) *Headroom { return &Headroom{cache: c} }

// Name implements framework.Filter.
func (h *Headroom) Name() string { return "urgent_headroom" }

// Allow implements framework.Filter.
func (h *Headroom) Allow(t *framework.Task, n *cache.Node) bool {
	if t.Urgent || n.UrgentReserve.IsZero() || n.Reservation != nil && n.Reservation.Job == t.Job {
		return true
	}
	return n.NonUrgentAllocated.Add(t.Size).Fits(n.Capacity.Sub(n.UrgentReserve))
}

// Score implements framework.Score. Urgent tasks prefer workers with reserved
// capacity, because no other tasks can use it. The bonus outweighs the score of BestFit,
// which lies between -2 and 0.
func (h *Headroom) Score(t *framework.Task, n *cache.Node) float64 {
	if t.Urgent && !n.UrgentReserve.IsZero() {
		return 5
	}
	return 0
}

// Candidates implements framework.Candidates.
func (h *Headroom) Candidates(t *framework.Task) []*cache.Node {
	if !t.Urgent {
		return nil
	}
	return h.reservedNodes
}

// Update decays the recorded peak and selects the reserved workers again, at most
// once per second.
func (h *Headroom) Update(now time.Time) {
	dt := now.Sub(h.updatedAt)
	if dt < time.Second {
		return
	}
	h.updatedAt = now
	f := math.Exp2(-float64(dt) / float64(peakHalfLife))
	h.peak.MilliCPU = int64(float64(h.peak.MilliCPU) * f)
	h.peak.MemoryMB = int64(float64(h.peak.MemoryMB) * f)
	h.peak = h.peak.Max(h.inUse)
	for _, n := range h.reservedNodes {
		n.UrgentReserve = model.Resources{}
	}
	h.reservedNodes = h.reservedNodes[:0]
	total := h.cache.Capacity()
	// Accelerators are not reserved: urgent tasks that need them preempt others.
	total.Accelerators = 0
	part := min(peakMarginFactor*h.peak.DominantShare(total), maxReservedShare)
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	if now.Sub(h.startedAt) < startupPeriod && h.cache.WorkerCount() >= startupMinWorkers {
		part = max(part, startupShare)
	}
	h.selectNodes(part * float64(h.cache.WorkerCount()))
}

// selectNodes reserves the capacity of the given number of workers, starting with the
// highest ID. The fraction applies to the last one, of which only a part is reserved.
func (h *Headroom) selectNodes(workers float64) {
	nodes := h.cache.Nodes()
	for i := len(nodes) - 1; i >= 0 && workers > 0; i-- {
		n := nodes[i]
		if !n.Usable() || n.Capacity.Accelerators > 0 {
			continue
		}
		f := min(workers, 1)
		n.UrgentReserve = model.Resources{
			MilliCPU: int64(f * float64(n.Capacity.MilliCPU)),
			MemoryMB: int64(f * float64(n.Capacity.MemoryMB)),
		}
		h.reservedNodes = append(h.reservedNodes, n)
		workers--
	}
}

// Reserve implements framework.Reserve.
func (h *Headroom) Reserve(t *framework.Task, n *cache.Node) {
	if !t.Urgent {
		n.NonUrgentAllocated = n.NonUrgentAllocated.Add(t.Size)
		return
	}
	h.inUse = h.inUse.Add(t.Size)
	h.peak = h.peak.Max(h.inUse)
}

// Release implements framework.Reserve.
func (h *Headroom) Release(t *framework.Task, n *cache.Node) {
	if !t.Urgent {
		n.NonUrgentAllocated = n.NonUrgentAllocated.Sub(t.Size)
		return
	}
	h.inUse = h.inUse.Sub(t.Size)
}
