package cell

import (
	"math"
	"slices"
	"time"
)

const (
	// minFreedom is the least number of degrees of freedom from which the scatter is known well enough.
	minFreedom = 20
	// minScatter is the least standard deviation assumed, since durations are measured to within a report's delay.
	minScatter = 0.05
	// loadPrior is the standard deviation of the effect of a full runner before there are samples: runners are not
	// expected to slow tasks down by their load alone. neighborPrior is the same for a neighbor.
	loadPrior     = 0.1
	neighborPrior = 1.5
	// evaluationInterval limits the solutions of a model, which take a few microseconds.
	evaluationInterval = time.Second
)

// evaluate updates the estimates. It reports whether they are usable.
func (m *effectModel) evaluate(now time.Time) bool {
	m.evaluated = now
	m.age(now)
	if m.freedom < minFreedom {
		return false
	}
	var columns []int
	for k := range effectColumns {
		if k == 0 || m.neighbors[k-1].class != 0 {
			columns = append(columns, k)
		}
	}
	free := m.freedom - float64(len(columns))
	if free < minFreedom/2 {
		return false
	}
	variance := max(m.squares/m.freedom, minScatter*minScatter)
	// The weight of the priors depends on the variance; the second pass takes what the first left unexplained.
	for range 2 {
		inverse, estimates, explained := m.solve(columns, variance)
		variance = max((m.squares-explained)/free, minScatter*minScatter)
		for i, k := range columns {
			if k > 0 {
				n := &m.neighbors[k-1]
				n.logSlowdown, n.logError = estimates[i], math.Sqrt(variance*max(0, inverse[i][i]))
				if m.perPlace {
					places := 1/float64(max(1, countPlaces(n.besidePlaces))) + 1/float64(max(1, countPlaces(n.withoutPlaces)))
					n.logError = max(n.logError, math.Sqrt(variance*places))
				}
			}
		}
	}
	return true
}

// solve returns the estimates for the given variables, the inverse of their products, and the part of the squares that
// the estimates explain.
func (m *effectModel) solve(columns []int, variance float64) (inverse [][]float64, estimates []float64, explained float64) {
	inverse, estimates = make([][]float64, len(columns)), make([]float64, len(columns))
	for i, k := range columns {
		inverse[i] = make([]float64, len(columns))
		for o, l := range columns {
			inverse[i][o] = m.products[max(k, l)][min(k, l)]
		}
		prior := neighborPrior
		if k == 0 {
			prior = loadPrior
		}
		inverse[i][i] += variance / (prior * prior)
	}
	invert(inverse)
	for i, k := range columns {
		for o, l := range columns {
			estimates[i] += inverse[i][o] * m.values[l]
		}
		explained += estimates[i] * m.values[k]
	}
	return inverse, estimates, explained
}

// shared returns the slowdown that all measured neighbors other than the given one have in common: that of the least
// harmful of them.
func (m *effectModel) shared(but int) float64 {
	least := math.Inf(1)
	for i := range m.neighbors {
		if n := &m.neighbors[i]; i != but && n.measured() {
			least = min(least, n.logSlowdown)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return max(0, least)
}

// invert replaces a symmetric positive definite matrix by its inverse.
func invert(a [][]float64) {
	for p := range a {
		pivot, row := 1/a[p][p], slices.Clone(a[p])
		for i := range a {
			if i == p {
				continue
			}
			f := a[i][p] * pivot
			for k := range a {
				a[i][k] -= f * row[k]
			}
			a[i][p] = -f
		}
		for k := range a {
			a[p][k] = row[k] * pivot
		}
		a[p][p] = pivot
	}
}
