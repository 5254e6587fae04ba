package replay

import (
	"cmp"
	"slices"

	"rhubarbstall.example/sched/model"
)

// usableCapacity returns the capacity of the workers that are not broken.
func (t *Trace) usableCapacity() model.Resources {
	var sum model.Resources
	for i := range t.Workers {
		if !t.Workers[i].Broken {
			sum = sum.Add(t.Workers[i].Capacity())
		}
	}
	return sum
}

// jainIndex returns Jain's fairness index over the departments for the first third of
// LowerBoundMS. Each department contributes the resources that it received, divided by
// its weighted max-min fair share.
func (r *Report) jainIndex(s *sim) float64 {
	untilMS := r.LowerBoundMS / 3
	demand := map[string]*resourceTime{}
	received := map[string]*resourceTime{}
	weight := map[string]float64{}
	for _, d := range s.trace.Departments {
		demand[d.Path], received[d.Path] = &resourceTime{}, &resourceTime{}
		weight[d.Path] = s.trace.fleetShare(d.Path)
	}
	for _, j := range s.jobs {
		if j.cancelled || j.spec.Fails || j.arrivedMS > untilMS || demand[j.spec.Department] == nil {
			continue
		}
		for i := range j.spec.Tasks {
			demand[j.spec.Department].add(j.spec.RequiredSize(), min(j.spec.RunTime(i).Milliseconds(), untilMS-j.arrivedMS))
		}
	}
	for _, i := range r.runIntervals {
		if v := received[i.job.spec.Department]; v != nil && i.useful {
			v.add(i.job.spec.RequiredSize(), min(i.toMS, untilMS)-i.fromMS)
		}
	}
	capacity := s.trace.usableCapacity()
	var shares []departmentShare
	for _, d := range s.trace.Departments {
		shares = append(shares, departmentShare{d.Path, weight[d.Path], demand[d.Path].capacityShare(capacity, untilMS), 0})
	}
	// The fair shares divide the resources that all departments received together;
	// packing is measured separately.
	total := 0.0
	for _, d := range s.trace.Departments {
		total += received[d.Path].capacityShare(capacity, untilMS)
	}
	assignFairShares(shares, total)
	var sum, squares, n float64
	for _, c := range shares {
		if c.fairShare > 0 {
			ratio := received[c.path].capacityShare(capacity, untilMS) / c.fairShare
			sum, squares, n = sum+ratio, squares+ratio*ratio, n+1
		}
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}

// fleetShare returns the part of the fleet that a department is entitled to by the
// weights of the tree if all departments have enough demand. A department with
// children competes with them like a child of weight 1.
func (t *Header) fleetShare(path string) float64 {
	share := 1.0
	for i := 0; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			share *= t.siblingShare(path[:i])
		}
	}
	children := 0.0
	for _, d := range t.Departments {
		if parent(d.Path) == path {
			children += float64(d.Weight)
		}
	}
	if children > 0 {
		share /= 1 + children
	}
	return share
}

// siblingShare returns the weight of a department divided by the total weight of its
// siblings and itself. Below the top level, the parent counts with a weight of 1.
func (t *Header) siblingShare(path string) float64 {
	var own, all float64
	for _, d := range t.Departments {
		if parent(d.Path) == parent(path) {
			all += float64(d.Weight)
		}
		if d.Path == path {
			own = float64(d.Weight)
		}
	}
	if parent(path) != "" {
		all++
	}
	return own / all
}

// parent returns the path of the parent, empty for a top-level department.
func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return path[:i]
		}
	}
	return ""
}

// departmentShare holds the demand and the fair share of a department, both as parts of
// the capacity.
type departmentShare struct {
	path                      string
	weight, demand, fairShare float64
}

// assignFairShares divides total by weight, with no share above the demand (max-min
// fairness).
func assignFairShares(shares []departmentShare, total float64) {
	byDemand := make([]*departmentShare, len(shares))
	weights := 0.0
	for i := range shares {
		byDemand[i] = &shares[i]
		weights += shares[i].weight
	}
	slices.SortStableFunc(byDemand, func(a, b *departmentShare) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, share := range byDemand {
		share.fairShare = min(share.demand, total*share.weight/weights)
		total -= share.fairShare
		weights -= share.weight
	}
}
