package estimate

import (
	"time"

	"rhubarbstall.example/sched/model"
)

const (
	// minKindObservations is the number of observations of a kind that are needed
	// before the estimate of the kind replaces the values that jobs declare.
	minKindObservations = 16
	// maxCorrection is the upper limit of the factor by which a declared size is
	// corrected. If tasks of a kind exceed their declared sizes by more, these sizes say
	// nothing about the usage, and only the peak usage of each job corrects them.
	maxCorrection = 4
)

// Kind holds the observations of one kind of work.
type Kind struct {
	// cpuRatio and memoryRatio hold the peak usage relative to the declared size.
	cpuRatio, memoryRatio recentSample
	// runTimeRatio holds run times relative to the declared ones, runTimeSeconds the run
	// times of all tasks.
	runTimeRatio, runTimeSeconds recentSample
}

// Kinds holds the estimates of all kinds by name.
type Kinds struct {
	kinds map[string]*Kind
}

// New returns estimates without observations.
func New() *Kinds { return &Kinds{kinds: map[string]*Kind{}} }

// Kind returns the estimates of a kind and creates them if there are none.
func (k *Kinds) Kind(name string) *Kind {
	estimate := k.kinds[name]
	if estimate == nil {
		estimate = &Kind{}
		k.kinds[name] = estimate
	}
	return estimate
}

// ObserveSize records the declared size and the peak usage of a task that succeeded.
func (k *Kind) ObserveSize(declared, peak model.Resources) {
	if declared.MilliCPU > 0 && peak.MilliCPU > 0 {
		k.cpuRatio.add(float64(peak.MilliCPU) / float64(declared.MilliCPU))
	}
	if declared.MemoryMB > 0 && peak.MemoryMB > 0 {
		k.memoryRatio.add(float64(peak.MemoryMB) / float64(declared.MemoryMB))
	}
}

// ObserveRunTime records the run time of a task that succeeded.
func (k *Kind) ObserveRunTime(declared, actual time.Duration) {
	k.runTimeSeconds.add(actual.Seconds())
	if declared > 0 {
		k.runTimeRatio.add(float64(actual) / float64(declared))
	}
}

// Size returns the size to allocate to a task: the largest of the declared size, the
// declared size with the correction of the kind, and the peak usage of the job's own
// tasks. The correction is the median of the kind, which suffices for a kind that always
// declares too little. A higher quantile would allocate too much to every task because
// of a few large ones.
func (k *Kind) Size(declared, jobPeak model.Resources) model.Resources {
	size := declared.Max(jobPeak)
	size.MilliCPU = max(size.MilliCPU, correctedSize(&k.cpuRatio, declared.MilliCPU))
	size.MemoryMB = max(size.MemoryMB, correctedSize(&k.memoryRatio, declared.MemoryMB))
	return size
}

// correctedSize returns the declared size multiplied by the median observed ratio.
func correctedSize(s *recentSample, declared int64) int64 {
	if s.count < minKindObservations {
		return declared
	}
	return int64(float64(declared) * min(s.quantile(0.5), maxCorrection))
}

// RunTime returns the typical run time of a task (the median) and an upper estimate (the
// 95th percentile), both zero if nothing is known.
func (k *Kind) RunTime(declared time.Duration) (typical, upper time.Duration) {
	switch {
	case declared > 0 && k.runTimeRatio.count >= minKindObservations:
		return scale(declared, k.runTimeRatio.quantile(0.5)), scale(declared, k.runTimeRatio.quantile(0.95))
	case declared > 0:
		// Declared run times are often too short: without enough observations, the upper
		// estimate is twice the declared time.
		return declared, 2 * declared
	case k.runTimeSeconds.count >= minKindObservations:
		return scale(time.Second, k.runTimeSeconds.quantile(0.5)), scale(time.Second, k.runTimeSeconds.quantile(0.95))
	}
	return 0, 0
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
