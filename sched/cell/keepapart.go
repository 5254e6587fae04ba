package cell

import "math"

const (
	// interferenceGradeStep is the difference in slowdown, about 5%, that makes a runner worse than another; smaller
	// ones are left to the free capacity.
	interferenceGradeStep = 0.05
	// maxInterferenceGrade bounds the grade, so that the penalty is at most 1<<36 milli-CPU: below remotePenaltyMilliCPU,
	// and with room for others in between.
	maxInterferenceGrade      = 1 << 6
	interferenceGradeMilliCPU = 1 << 30
)

// partner is a class that another class is kept apart from.
type partner struct {
	class classID
	// suffers is the logarithm of the slowdown of a run of the other class beside this one, and inflicts that of each
	// run of this class beside the other.
	suffers, inflicts float64
}

// refreshPartners derives the classes that each class is kept apart from.
func (x *interference) refreshPartners() {
	for _, k := range x.classes.byID {
		k.partners = nil
	}
	for _, p := range x.sortedPairs() {
		k, beside := x.classes.byID[p.class], x.classes.byID[p.beside]
		m := k.model(p.effect)
		for i := range m.neighbors {
			if n := &m.neighbors[i]; n.class == p.beside {
				slowdown := max(minLogSlowdown, n.logSlowdown-m.shared(i))
				own := k.partnerOf(p.beside)
				own.suffers = max(own.suffers, slowdown)
				if beside != nil {
					other := beside.partnerOf(p.class)
					other.inflicts = max(other.inflicts, slowdown)
				}
			}
		}
	}
}

// partnerOf returns the entry for a class, which it adds if there is none.
func (k *taskClass) partnerOf(class classID) *partner {
	for i := range k.partners {
		if k.partners[i].class == class {
			return &k.partners[i]
		}
	}
	k.partners = append(k.partners, partner{class: class})
	return &k.partners[len(k.partners)-1]
}

// partnersOf returns the classes that tasks of a group are kept apart from.
func (x *interference) partnersOf(g *group) []partner {
	if len(x.pairs) == 0 {
		return nil
	}
	if k := x.classes.byKey[g.classKey()]; k != nil {
		return k.partners
	}
	return nil
}

// interferenceGradeOn returns how much a further task and the runs on a runner would slow each other down.
func (r *runner) interferenceGradeOn(partners []partner) int64 {
	if len(partners) == 0 {
		return 0
	}
	sum := 0.0
	for i := range r.colocation.classes {
		present := &r.colocation.classes[i]
		if present.runs == 0 {
			continue
		}
		for _, p := range partners {
			if p.class == present.class {
				sum += p.suffers + float64(present.runs)*p.inflicts
			}
		}
	}
	return int64(min(math.Ceil(sum/interferenceGradeStep), maxInterferenceGrade))
}

// gradeInterference sets the grades of runners for a gang.
func (c *Cell) gradeInterference(g *group, runners []*runner) {
	if len(c.interference.pairs) == 0 {
		return
	}
	partners := c.interference.partnersOf(g)
	for _, r := range runners {
		r.interferenceGrade = r.interferenceGradeOn(partners)
	}
}
