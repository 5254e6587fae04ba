package model

// Resources is an amount of processor time, memory and accelerators.
type Resources struct {
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; a component may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into free in every component.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Max returns the larger of each component.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the largest ratio of a component of r to the same component
// of total, as in dominant resource fairness. Components that are zero in total do
// not count.
func (r Resources) DominantShare(total Resources) float64 {
	share := func(part, whole int64) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return max(
		share(r.MilliCPU, total.MilliCPU),
		share(r.MemoryMB, total.MemoryMB),
		share(r.Accelerators, total.Accelerators),
	)
}
