package cell

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Some tasks slow each other down on one machine, by caches, memory bandwidth or disks that no claim covers. The
// scheduler learns from the durations and tail latencies of runs which classes do, and places their tasks apart where
// there is room. Interference ranks after every other reason for a runner, and no task waits because of it.

const (
	// minLogSlowdown is the slowdown from which on a pair is kept apart, a quarter: callers with a slack factor of 1.5
	// notice no less.
	minLogSlowdown = 0.2231
	// endLogSlowdown is the slowdown, 15%, under which a pair is forgotten. It is well below minLogSlowdown, so that no
	// pair changes back and forth.
	endLogSlowdown = 0.1398
	// minBesideKept is the number of samples, weighted by age, under which a pair is forgotten: a pair that is kept apart
	// yields few samples, and a quarter of an hour to an hour after the last one it is tried again.
	minBesideKept = 3
	// certainty is by how many standard errors an estimate must exceed minLogSlowdown.
	certainty = 3
	// maxPairs is the maximum number of established pairs. It bounds the work of placement, which looks at the pairs of
	// a task's class.
	maxPairs = 64
	// forgetInterval is how often the age of the samples of established pairs is checked.
	forgetInterval = 10 * time.Second
)

// effect is what a neighbor changes.
type effect int

const (
	effectOnDuration effect = iota
	effectOnTail
)

// String returns the name of the effect for operators.
func (e effect) String() string {
	if e == effectOnTail {
		return "tail_latency"
	}
	return "duration"
}

// pairKey is a class that is slowed down, the class beside it, and what is slowed down.
type pairKey struct {
	class, beside classID
	effect        effect
}

// interference holds what is learned of the effects of classes on each other.
type interference struct {
	startedAt time.Time
	classes   classTable
	// pairs holds the established pairs.
	pairs      map[pairKey]bool
	nextForget time.Time
}

func newInterference(now time.Time) interference {
	return interference{startedAt: now, classes: newClassTable(), pairs: make(map[pairKey]bool)}
}

func (x *interference) millis(now time.Time) termMillis {
	return termMillis(max(0, now.Sub(x.startedAt).Milliseconds()))
}

func (x *interference) nameOf(id classID) (classKey, bool) {
	k := x.classes.byID[id]
	if k == nil {
		return classKey{}, false
	}
	return k.key, true
}

// relativeSpeed returns the speed of a runner relative to the median of its pool; 1 unless it is established that the
// speed differs. The estimates of the other runners contain what the neighbors of their runs did to these, so a correction
// by them would hide the interference.
func (c *Cell) relativeSpeed(id string) float64 {
	if r := c.runners[id]; r != nil && (r.speed.slow || r.speed.fast) && r.speed.relative() > 0 {
		return r.speed.relative()
	}
	return 1
}

// noteRunAdded counts a run that was added to a runner, and notes what runs there if the run may be compared.
func (c *Cell) noteRunAdded(now time.Time, r *runner, run *Run) {
	if run.group == nil || run.class != 0 {
		return
	}
	k := c.interference.classes.use(now, run.group)
	if k == nil {
		return
	}
	at := c.interference.millis(now)
	run.class = k.id
	r.colocation.add(at, run.class, run.claimed.MilliCPU)
	if run.hasTailTarget() || (!run.adopted && run.group.comparable() && run.group.spec.Estimate > 0 && !run.group.isRemote(r)) {
		run.colocation = r.colocation.mark(at, run.class)
	}
}

// noteRunRemoved counts a run that was removed from a runner.
func (c *Cell) noteRunRemoved(now time.Time, r *runner, run *Run) {
	if run.class == 0 {
		return
	}
	r.colocation.remove(c.interference.millis(now), run.class, run.claimed.MilliCPU)
	run.class = 0
}

// isRemote reports whether a task of the group runs outside the rack of its data there, which slows it down by itself.
func (g *group) isRemote(r *runner) bool {
	return g.spec.DataRack != "" && r.info.Rack != g.spec.DataRack
}

// learnInterference learns from the runs of a step that is done.
func (c *Cell) learnInterference(now time.Time, samples []durationSample) {
	if len(samples) < 2 {
		return
	}
	k := c.interference.classes.byKey[samples[0].group.classKey()]
	if k == nil {
		return
	}
	age := commonAge(samples)
	if age < 0 {
		return
	}
	batch := make([]effectSample, 0, len(samples))
	for i := range samples {
		if s := &samples[i]; s.beside.observed && s.beside.upTo[age].known {
			batch = append(batch, effectSample{
				logValue:  math.Log(max(s.duration, time.Millisecond).Seconds() * c.relativeSpeed(s.runner)),
				place:     placeHash(s.runner),
				neighbors: s.beside.upTo[age],
			})
		}
	}
	c.learnEffects(now, k, effectOnDuration, batch)
}

func placeHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// learnEffects adds a batch to the model of a class, and looks at the pairs again if that is due.
func (c *Cell) learnEffects(now time.Time, k *taskClass, e effect, batch []effectSample) {
	m := k.model(e)
	if m == nil {
		if !slices.ContainsFunc(batch, func(s effectSample) bool { return len(s.shares) > 0 }) {
			return
		}
		m = &effectModel{perPlace: e == effectOnTail}
		if e == effectOnTail {
			k.tails = m
		} else {
			k.durations = m
		}
	}
	m.add(now, batch, c.interference.nameOf)
	if now.Sub(m.evaluated) >= evaluationInterval {
		c.reviewPairs(now, k, e)
	}
}

// reviewPairs establishes and forgets pairs of a class by its present estimates.
func (c *Cell) reviewPairs(now time.Time, k *taskClass, e effect) {
	m := k.model(e)
	usable := m.evaluate(now)
	for i := range m.neighbors {
		n := &m.neighbors[i]
		if n.class == 0 {
			continue
		}
		found, excess := !n.foundAt.IsZero(), n.logSlowdown-m.shared(i)
		pair := pairKey{k.id, n.class, e}
		switch {
		case !found && usable && n.measured() && len(c.interference.pairs) < maxPairs && excess-certainty*n.logError >= minLogSlowdown:
			n.foundAt = now
			c.interference.pairs[pair] = true
			c.pairChanged(EventInterferenceFound, k, n, e)
		case found && (n.beside < minBesideKept || (usable && excess < endLogSlowdown)):
			n.foundAt = time.Time{}
			delete(c.interference.pairs, pair)
			c.pairChanged(EventInterferenceForgotten, k, n, e)
		}
	}
}

func (c *Cell) pairChanged(kind EventKind, k *taskClass, n *neighborEffect, e effect) {
	c.interference.refreshPartners()
	if len(c.interference.pairs) == 0 {
		for _, r := range c.sortedRunners {
			r.interferenceGrade = 0
		}
	}
	c.event(Event{Kind: kind, Detail: e.String(), Class: k.key.String(), Beside: n.key.String(), Slowdown: math.Exp(n.logSlowdown), Count: int(math.Round(n.beside))})
}

// forgetPairs looks at the established pairs again although there are no new samples.
func (c *Cell) forgetPairs(now time.Time) {
	if len(c.interference.pairs) == 0 || now.Before(c.interference.nextForget) {
		return
	}
	c.interference.nextForget = now.Add(forgetInterval)
	for _, p := range c.interference.sortedPairs() {
		c.reviewPairs(now, c.interference.classes.byID[p.class], p.effect)
	}
}

// sortedPairs returns the established pairs in an order that does not depend on map order.
func (x *interference) sortedPairs() []pairKey {
	out := make([]pairKey, 0, len(x.pairs))
	for p := range x.pairs {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b pairKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.beside, b.beside), cmp.Compare(a.effect, b.effect))
	})
	return out
}
