package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// leastClaimsSpan is for how long at least a start counts as recent, at most twice as long.
const leastClaimsSpan = 10 * time.Second

// leastClaims holds the least CPU and the least memory that recent starts claimed, of the present span of time and the one
// before.
type leastClaims struct {
	begin                 time.Time
	present, before       model.Resources
	hasPresent, hasBefore bool
}

func (l *leastClaims) add(now time.Time, claim model.Resources) {
	l.advance(now)
	if l.hasPresent {
		claim = least(claim, l.present)
	}
	l.present, l.hasPresent = claim, true
}

// least returns the least claims; false if nothing was started recently.
func (l *leastClaims) least(now time.Time) (model.Resources, bool) {
	l.advance(now)
	switch {
	case l.hasPresent && l.hasBefore:
		return least(l.present, l.before), true
	case l.hasPresent:
		return l.present, true
	default:
		return l.before, l.hasBefore
	}
}

func (l *leastClaims) advance(now time.Time) {
	switch age := now.Sub(l.begin); {
	case age < leastClaimsSpan:
		return
	case age < 2*leastClaimsSpan:
		l.before, l.hasBefore = l.present, l.hasPresent
	default:
		l.hasBefore = false
	}
	l.begin, l.hasPresent = now, false
}

// least returns the lesser CPU and the lesser memory of two claims.
func least(a, b model.Resources) model.Resources {
	return model.Resources{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB)}
}
