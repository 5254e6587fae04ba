package cell

import (
	"math/bits"
	"time"
)

const (
	// minBeside is how many runs there must be on each side. minBesidePlaces is on how many runners, or in how many
	// serving runs: a single slow one must not look like the effect of what runs there.
	minBeside       = 12
	minBesidePlaces = 4
)

// neighborEffect is what is known of the effect of one class on another.
type neighborEffect struct {
	class classID
	key   classKey
	// score decides which classes are kept: it grows with the samples beside this class and falls with those beside
	// classes that found no place.
	score float64
	// beside and without are the numbers of samples, weighted by age. besidePlaces and withoutPlaces are sets of the
	// hashes of their places, in the present half-life and the one before.
	beside, without             float64
	besidePlaces, withoutPlaces [2]uint64
	lastBeside                  time.Time
	// logSlowdown is the estimate, and logError its standard error.
	logSlowdown, logError float64
	// foundAt is since when the pair is established; zero if it is not.
	foundAt time.Time
}

// countPlaces returns a lower bound of the number of places in a set.
func countPlaces(places [2]uint64) int { return bits.OnesCount64(places[0] | places[1]) }

// measured reports whether there are enough samples beside and without a class.
func (n *neighborEffect) measured() bool {
	return n.class != 0 && n.beside >= minBeside && n.without >= minBeside &&
		min(countPlaces(n.besidePlaces), countPlaces(n.withoutPlaces)) >= minBesidePlaces
}
