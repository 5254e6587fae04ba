package plugins

import (
	"math"
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/model"
)

const (
	// headroomHalfLife forgets a peak of urgent work.
	headroomHalfLife = 10 * time.Minute
	// headroomMargin is kept above the remembered peak, in percent.
	headroomMargin = 25
	// headroomCap bounds the share of the capacity kept for urgent work, in percent.
	headroomCap = 50
)

// Headroom keeps as much room for urgent work as it used at its recent peak, so
// that urgent tasks start without waiting for patient ones to end. A kind below
// its floor is exempt.
type Headroom struct {
	cache *cache.Cache
	inUse model.Resources
	peak  model.Resources
	at    time.Time
}

// NewHeadroom returns the rule for the workers of c.
func NewHeadroom(c *cache.Cache) *Headroom { return &Headroom{cache: c} }

// Permit implements framework.Permit.
func (h *Headroom) Permit(t *framework.Task) (string, bool) {
	if t.Urgent || t.BelowFloor {
		return "", true
	}
	h.decay(t.Now)
	total := h.cache.Total()
	keep := scale(h.peak, 100+headroomMargin, 100)
	limit := scale(total, headroomCap, 100)
	keep.MilliCPU = max(min(keep.MilliCPU, limit.MilliCPU)-h.inUse.MilliCPU, 0)
	keep.MemoryMB = max(min(keep.MemoryMB, limit.MemoryMB)-h.inUse.MemoryMB, 0)
	free := total.Sub(h.cache.Used())
	if t.Size.MilliCPU+keep.MilliCPU > free.MilliCPU || t.Size.MemoryMB+keep.MemoryMB > free.MemoryMB {
		return "urgent_headroom", false
	}
	return "", true
}

func (h *Headroom) decay(now time.Time) {
	// A step of a second keeps the cost of the exponential off each decision.
	dt := now.Sub(h.at)
	if dt < time.Second {
		return
	}
	f := math.Exp2(-float64(dt) / float64(headroomHalfLife))
	h.peak.MilliCPU = int64(float64(h.peak.MilliCPU) * f)
	h.peak.MemoryMB = int64(float64(h.peak.MemoryMB) * f)
	h.peak = h.peak.Max(h.inUse)
	h.at = now
}

// Reserved implements framework.Reserve.
func (h *Headroom) Reserved(t *framework.Task, _ *cache.Node) {
	if t.Urgent {
		h.inUse = h.inUse.Add(t.Size)
		h.peak = h.peak.Max(h.inUse)
	}
}

// Released implements framework.Reserve.
func (h *Headroom) Released(t *framework.Task, _ *cache.Node) {
	if t.Urgent {
		h.inUse = h.inUse.Sub(t.Size)
	}
}

func scale(r model.Resources, num, den int64) model.Resources {
	return model.Resources{MilliCPU: r.MilliCPU * num / den, MemoryMB: r.MemoryMB * num / den, Accelerators: r.Accelerators * num / den}
}
