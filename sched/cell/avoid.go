package cell

import "time"

// A task that fails is started elsewhere if possible: the runner may be at fault. Few runners may be able
// to run it, or only one, because of a label, of its size, or of the advisor. These must stay of use, and
// must not use up all attempts at once while they fail whatever they start.

const (
	// maxIdleTime is how long a task whose turn has come may wait beside free capacity, by the promise
	// to callers.
	maxIdleTime = 3 * time.Second
	// avoidTime is how long a group leaves out a runner after a failure there, even if no other runner
	// may run it. The attempts are spread over time without ever waiting for maxIdleTime.
	avoidTime = maxIdleTime * 2 / 3
)

// recordFailureOn records that a task of the group failed or stalled on a runner.
func (g *group) recordFailureOn(now time.Time, r *runner) {
	if g.failedOn == nil {
		g.failedOn = make(map[string]time.Time)
	}
	g.failedOn[r.info.ID] = now
}

// hasFailedOn reports whether a task of the group ever failed or stalled on a runner. Such a runner is
// used only if no other has capacity.
func (g *group) hasFailedOn(r *runner) bool {
	_, failed := g.failedOn[r.info.ID]
	return failed
}

// avoids reports whether the group leaves out a runner because of a recent failure there.
func (g *group) avoids(now time.Time, r *runner) bool {
	at, failed := g.failedOn[r.info.ID]
	return failed && now.Sub(at) < avoidTime
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
