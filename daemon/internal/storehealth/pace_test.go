package storehealth

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against waiting a second for each lost answer of a quick store, and against
// giving up each call of a slow one.
func TestLimitFollowsAnswers(t *testing.T) {
	p := new(Pace)
	now := time.Unix(100, 0)
	p.Answered(4 * time.Millisecond)
	must.Eq(t, minLimit, p.Limit())
	// A lost answer among quick ones changes little.
	p.Missed(now, now)
	must.Eq(t, 2*minLimit, p.Limit())
	p.Answered(4 * time.Millisecond)
	must.Eq(t, minLimit, p.Limit())
	// A store that turned slow is given time after two rounds of calls at most.
	for range 5 {
		p.Missed(now.Add(200*time.Millisecond), now)
	}
	must.Eq(t, 2*minLimit, p.Limit())
	p.Answered(300 * time.Millisecond)
	must.Eq(t, MaxLimit, p.Limit())
	for range 100 {
		p.Answered(4 * time.Millisecond)
	}
	must.Eq(t, minLimit, p.Limit())
}
