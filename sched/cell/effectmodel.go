package cell

import (
	"math"
	"time"
)

// Several classes run beside a run at once, and those that are often seen together with a culprit must not be blamed for
// it. The durations of the runs of a step are therefore explained by all neighbors together, by linear regression: the
// logarithm of a duration, less the mean of its step, depends on the share of its time that each class ran beside it
// and on the load of its runner. Classes that always run together cannot be told apart, and then neither counts as
// certain.

const (
	// maxNeighbors is how many classes one class is compared beside; those seen most often are kept.
	maxNeighbors = 12
	// effectColumns are the variables of the regression: the load and the neighbors.
	effectColumns = 1 + maxNeighbors
	// sampleHalfLife is the age at which a sample counts half: long enough for classes that run side by side some
	// times a minute, and short against the time between releases of an image.
	sampleHalfLife = 10 * time.Minute
	// maxLogDeviation limits how far a run counts as longer or shorter than the others of its step: stragglers take
	// seven times as long, and a few of them must not look like a neighbor's effect.
	maxLogDeviation = 1.1 // a factor of 3
	// besideShare is the share of the observed time from which on a run counts as one beside a class.
	besideShare = 0.5
)

// effectSample is a run, or an interval of a serving run, compared with others of its batch.
type effectSample struct {
	// logValue is the logarithm of the duration or of the tail latency.
	logValue float64
	// place is the hash of the runner, or of the serving run.
	place uint64
	neighbors
}

// effectModel holds the sums of a regression for one class, weighted by age.
type effectModel struct {
	neighbors [maxNeighbors]neighborEffect
	// products holds the sums of the products of each two variables, and values those of each variable and the
	// logarithm, all relative to the means of their batch. squares is the sum of the squares of the logarithm.
	products [effectColumns][effectColumns]float64
	values   [effectColumns]float64
	squares  float64
	// freedom is the number of samples less that of the batches.
	freedom   float64
	updatedAt time.Time
	placesAt  time.Time
	evaluated time.Time
	// perPlace is true if the samples of a place are alike, as those of a serving run are, so that the error is at
	// least that of one sample from each place.
	perPlace bool
}

// age reduces the weight of earlier samples.
func (m *effectModel) age(now time.Time) {
	if m.updatedAt.IsZero() {
		m.updatedAt, m.placesAt = now, now
	}
	passed := now.Sub(m.updatedAt)
	if passed <= 0 {
		return
	}
	m.updatedAt = now
	f := math.Exp2(-passed.Seconds() / sampleHalfLife.Seconds())
	for i := range m.products {
		for k := range m.products[i] {
			m.products[i][k] *= f
		}
		m.values[i] *= f
	}
	m.squares *= f
	m.freedom *= f
	newPlaces := now.Sub(m.placesAt) >= sampleHalfLife
	if newPlaces {
		m.placesAt = now
	}
	for i := range m.neighbors {
		n := &m.neighbors[i]
		n.beside, n.without, n.score = n.beside*f, n.without*f, n.score*f
		if newPlaces {
			n.besidePlaces, n.withoutPlaces = [2]uint64{0, n.besidePlaces[0]}, [2]uint64{0, n.withoutPlaces[0]}
		}
	}
}

// add adds a batch of samples that are compared with each other. nameOf returns the name of a class, and false if it
// is no longer known.
func (m *effectModel) add(now time.Time, batch []effectSample, nameOf func(classID) (classKey, bool)) {
	if len(batch) < 2 {
		return
	}
	m.age(now)
	logs := make([]float64, len(batch))
	for i := range batch {
		logs[i] = batch[i].logValue
	}
	middle := medianOf(logs)
	rows := make([][effectColumns + 1]float64, len(batch))
	var mean [effectColumns + 1]float64
	for i := range batch {
		for _, s := range batch[i].shares {
			if k := m.column(s, nameOf); k >= 0 {
				rows[i][1+k] = float64(s.share)
			}
		}
	}
	for i := range batch {
		rows[i][0] = float64(batch[i].load)
		rows[i][effectColumns] = min(max(-maxLogDeviation, batch[i].logValue-middle), maxLogDeviation)
		for k, v := range rows[i] {
			mean[k] += v / float64(len(batch))
		}
	}
	m.countSides(now, batch, rows)
	for i := range rows {
		for k := range rows[i] {
			rows[i][k] -= mean[k]
		}
		y := rows[i][effectColumns]
		for k := range effectColumns {
			x := rows[i][k]
			if x == 0 {
				continue
			}
			for o := range k + 1 {
				m.products[k][o] += x * rows[i][o]
			}
			m.values[k] += x * y
		}
		m.squares += y * y
	}
	m.freedom += float64(len(batch) - 1)
}

// column returns the index of a neighbor, which it adds if the model has room; -1 if it has none or the class is not
// known any more.
func (m *effectModel) column(s classShare, nameOf func(classID) (classKey, bool)) int {
	free := -1
	for i := range m.neighbors {
		n := &m.neighbors[i]
		switch {
		case n.class == s.class:
			n.score += float64(s.share)
			return i
		case n.foundAt.IsZero() && n.score <= 0 && (free < 0 || (n.class == 0 && m.neighbors[free].class != 0)):
			free = i
		}
	}
	key, known := nameOf(s.class)
	if !known {
		return -1
	}
	if free < 0 {
		// Classes that are seen rarely lose their places to those seen often.
		for i := range m.neighbors {
			m.neighbors[i].score -= float64(s.share)
		}
		return -1
	}
	m.clearColumn(free)
	m.neighbors[free] = neighborEffect{class: s.class, key: key, score: float64(s.share)}
	return free
}

func (m *effectModel) clearColumn(neighbor int) {
	for k := range effectColumns {
		m.products[1+neighbor][k], m.products[k][1+neighbor] = 0, 0
	}
	m.values[1+neighbor] = 0
}

// countSides counts the samples beside and without each class, in batches that have both.
func (m *effectModel) countSides(now time.Time, batch []effectSample, rows [][effectColumns + 1]float64) {
	for k := range m.neighbors {
		n := &m.neighbors[k]
		if n.class == 0 {
			continue
		}
		beside, besidePlaces, withoutPlaces := 0, uint64(0), uint64(0)
		for i := range rows {
			place := uint64(1) << (batch[i].place % 64)
			if rows[i][1+k] >= besideShare {
				beside++
				besidePlaces |= place
			} else {
				withoutPlaces |= place
			}
		}
		if beside == 0 || beside == len(rows) {
			continue
		}
		n.lastBeside = now
		n.beside += float64(beside)
		n.without += float64(len(rows) - beside)
		n.besidePlaces[0] |= besidePlaces
		n.withoutPlaces[0] |= withoutPlaces
	}
}
