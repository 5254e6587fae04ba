package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// InterferenceView is an established pair as shown to operators.
type InterferenceView struct {
	// Class is slowed down beside Beside; Effect tells whether by its duration or its tail latency.
	Class  string `json:"class"`
	Beside string `json:"beside"`
	Effect string `json:"effect"`
	// Slowdown is the factor, and SlowdownAtLeast the least one within the certainty of the estimate.
	Slowdown        float64 `json:"slowdown"`
	SlowdownAtLeast float64 `json:"slowdown_at_least"`
	// SamplesBeside and SamplesWithout are the numbers of samples, weighted by age.
	SamplesBeside  float64 `json:"samples_beside"`
	SamplesWithout float64 `json:"samples_without"`
	// Age is since when the pair is known, and LastBeside the age of the last sample.
	Age        time.Duration `json:"age"`
	LastBeside time.Duration `json:"last_beside"`
}

// InterferenceViews returns the established pairs, sorted by name.
func (c *Cell) InterferenceViews(now time.Time) []InterferenceView {
	out := make([]InterferenceView, 0, len(c.interference.pairs))
	for _, p := range c.interference.sortedPairs() {
		k := c.interference.classes.byID[p.class]
		m := k.model(p.effect)
		for i := range m.neighbors {
			n := &m.neighbors[i]
			if n.class != p.beside {
				continue
			}
			out = append(out, InterferenceView{
				Class: k.key.String(), Beside: n.key.String(), Effect: p.effect.String(),
				Slowdown: math.Exp(n.logSlowdown), SlowdownAtLeast: math.Exp(n.logSlowdown - certainty*n.logError),
				SamplesBeside: n.beside, SamplesWithout: n.without, Age: now.Sub(n.foundAt), LastBeside: now.Sub(n.lastBeside),
			})
		}
	}
	slices.SortFunc(out, func(a, b InterferenceView) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Beside, b.Beside), cmp.Compare(a.Effect, b.Effect))
	})
	return out
}

// InterferenceStats counts what is known of interference.
type InterferenceStats struct {
	// Classes counts the compared classes, and Pairs the established pairs.
	Classes, Pairs int
}
