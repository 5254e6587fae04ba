package replay

import (
	"cmp"
	"slices"
)

// lowerBoundMS returns a time before which no schedule can end. It is the maximum over
// all jobs of the arrival plus the longest task of the job, and of the arrival plus the
// time that the whole capacity needs for the work that arrives from then on. Failing
// and cancelled jobs do not count. It also sets WorkDone.
func (r *Report) lowerBoundMS(s *sim) int64 {
	type arrival struct {
		atMS int64
		job  *replayedJob
	}
	var arrivals []arrival
	for _, e := range s.trace.Events {
		if e.Job == nil {
			continue
		}
		if j := s.jobs[e.Job.ID]; j != nil && !j.cancelled && !j.spec.Fails {
			arrivals = append(arrivals, arrival{e.AtMS, j})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(b.atMS, a.atMS) })
	capacity := s.trace.usableCapacity()
	var total, done resourceTime
	boundMS := int64(0)
	for _, a := range arrivals {
		for i := range a.job.spec.Tasks {
			runMS := a.job.spec.RunTime(i).Milliseconds()
			total.add(a.job.spec.RequiredSize(), runMS)
			if a.job.succeeded[i] {
				done.add(a.job.spec.RequiredSize(), runMS)
			}
			boundMS = max(boundMS, a.atMS+runMS)
		}
		// The share of the capacity of one millisecond equals the milliseconds that the
		// work takes on the whole fleet.
		boundMS = max(boundMS, a.atMS+int64(total.capacityShare(capacity, 1)))
	}
	r.WorkDone = 1
	if all := total.capacityShare(capacity, 1); all > 0 {
		r.WorkDone = done.capacityShare(capacity, 1) / all
	}
	return boundMS
}
