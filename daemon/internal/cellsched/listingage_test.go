package cellsched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against work on a runner that has been leaving for too long: the scheduler's VM is short
// of processor time and applies the changes of runners' entries seconds late.
func TestNoStartsWhileRunnersEntriesAreOutdated(t *testing.T) {
	s := newIdleScheduler(t)
	s.settings.DrainTimeout = 4 * time.Second
	now := time.Now()
	must.False(t, s.runnersOutdated(now))
	s.runnersAge.applied(now)
	must.False(t, s.runnersOutdated(now.Add(3*time.Second)))
	must.True(t, s.runnersOutdated(now.Add(3600*time.Millisecond)))
	s.runnersAge.applied(now.Add(3 * time.Second))
	must.False(t, s.runnersOutdated(now.Add(3600*time.Millisecond)))
}

// Guards against stored work that stops while the store cannot be reached: then no runner can
// report that it leaves either.
func TestStartsGoOnWhileStoreIsUnreachable(t *testing.T) {
	s := newIdleScheduler(t)
	s.settings.DrainTimeout = 4 * time.Second
	now := time.Now()
	s.runnersAge.applied(now)
	s.runnersAge.failed()
	must.False(t, s.runnersOutdated(now.Add(time.Minute)))
}
