package estimate

import (
	"time"

	"rhubarbstall.example/sched/model"
)

const (
	// minObservations must be seen before a kind's estimate replaces what jobs
	// declare.
	minObservations = 16
	// maxRatio bounds a learned correction; a kind that is further off declares
	// nothing useful, and its tasks are corrected one job at a time.
	maxRatio = 4
)

// Kind holds what is learned of a kind of work.
type Kind struct {
	cpu, memory sample
	// ratio holds run times relative to the declared one, absolute holds seconds.
	ratio, absolute sample
}

// Kinds holds the estimates by kind.
type Kinds struct {
	kinds map[string]*Kind
}

// New returns estimates without observations.
func New() *Kinds { return &Kinds{kinds: map[string]*Kind{}} }

// Kind returns the estimates of a kind.
func (k *Kinds) Kind(name string) *Kind {
	x := k.kinds[name]
	if x == nil {
		x = &Kind{}
		k.kinds[name] = x
	}
	return x
}

// ObserveSize records the peak use of a task with the declared size.
func (k *Kind) ObserveSize(declared, peak model.Resources) {
	if declared.MilliCPU > 0 && peak.MilliCPU > 0 {
		k.cpu.add(float64(peak.MilliCPU) / float64(declared.MilliCPU))
	}
	if declared.MemoryMB > 0 && peak.MemoryMB > 0 {
		k.memory.add(float64(peak.MemoryMB) / float64(declared.MemoryMB))
	}
}

// ObserveRunTime records the run time of a task that succeeded.
func (k *Kind) ObserveRunTime(declared, actual time.Duration) {
	k.absolute.add(actual.Seconds())
	if declared > 0 {
		k.ratio.add(float64(actual) / float64(declared))
	}
}

// Size returns the amount to reserve: the declared size, the usual use of the
// kind, or what the job's own tasks used, whichever is largest. The median of
// the kind corrects a kind that always declares too little; a higher quantile
// would waste room for every task because of the few that are off.
func (k *Kind) Size(declared, jobPeak model.Resources) model.Resources {
	size := declared.Max(jobPeak)
	size.MilliCPU = max(size.MilliCPU, corrected(&k.cpu, declared.MilliCPU))
	size.MemoryMB = max(size.MemoryMB, corrected(&k.memory, declared.MemoryMB))
	return size
}

func corrected(s *sample, declared int64) int64 {
	if s.seen < minObservations {
		return declared
	}
	return int64(float64(declared) * min(s.quantile(0.5), maxRatio))
}

// RunTime returns the usual run time of a task and one that few exceed; zero if
// nothing is known.
func (k *Kind) RunTime(declared time.Duration) (usual, long time.Duration) {
	switch {
	case declared > 0 && k.ratio.seen >= minObservations:
		return times(declared, k.ratio.quantile(0.5)), times(declared, k.ratio.quantile(0.95))
	case declared > 0:
		// Declared times are often too short; until some are seen, allow double.
		return declared, 2 * declared
	case k.absolute.seen >= minObservations:
		return times(time.Second, k.absolute.quantile(0.5)), times(time.Second, k.absolute.quantile(0.95))
	}
	return 0, 0
}

func times(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
