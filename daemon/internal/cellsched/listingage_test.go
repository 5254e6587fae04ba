package cellsched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/standin/cellrunner"
)

// Guards against work on a runner that has been leaving for too long: the scheduler's VM is short
// of processor time and applies the changes of runners' entries seconds late.
func TestNoStartsWhileRunnersEntriesAreOutdated(t *testing.T) {
	s := newIdleScheduler(t)
	s.settings.DrainTimeout = 4 * time.Second
	now := time.Now()
	must.False(t, s.runnersOutdated(now))
	s.runnersAge.applied(now)
	must.False(t, s.runnersOutdated(now.Add(1900*time.Millisecond)))
	must.True(t, s.runnersOutdated(now.Add(2100*time.Millisecond)))
	s.runnersAge.applied(now.Add(time.Second))
	must.False(t, s.runnersOutdated(now.Add(2100*time.Millisecond)))
	// With a short timeout the entries may still become as old as they do between two answers.
	s.settings.DrainTimeout = 2 * time.Second
	s.runnersAge.applied(now)
	must.False(t, s.runnersOutdated(now.Add(1200*time.Millisecond)))
	must.True(t, s.runnersOutdated(now.Add(1600*time.Millisecond)))
}

// Guards against a watch whose answers are too late for their timeout, which was taken for a store
// that cannot be reached, so that work went on with outdated entries.
func TestUnansweredWatchMakesEntriesOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStoreFixture(t)
		defer c.close()
		s, end := c.newScheduler(alwaysValid)
		defer end()
		s.settings.DrainTimeout = 4 * time.Second
		at, ok := s.listRunners()
		must.True(t, ok)
		s.spawn(func() { s.watchRunners(at) })
		time.Sleep(3 * time.Second)
		must.False(t, s.runnersOutdated(time.Now()))
		c.net.Cut("vm", simStore)
		time.Sleep(4 * time.Second)
		must.True(t, s.runnersOutdated(time.Now()))
		c.net.Heal("vm", simStore)
		time.Sleep(8 * time.Second)
		must.False(t, s.runnersOutdated(time.Now()))
	})
}

// Guards against stored work that stops while the store cannot be reached: then no runner can
// report that it leaves either.
func TestStartsGoOnWhileStoreIsUnreachable(t *testing.T) {
	s := newIdleScheduler(t)
	s.settings.DrainTimeout = 4 * time.Second
	now := time.Now()
	s.runnersAge.applied(now)
	s.settings.StoreUnreachable = func() bool { return true }
	must.False(t, s.runnersOutdated(now.Add(time.Minute)))
}

// Guards against work on a runner that has been leaving for seconds in a cell whose runners change their
// entries more often than one answer to a watch holds between two calls: the scheduler applied older and older
// changes and took them for current.
func TestEntriesThatChangeOftenStayCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runners, changesPerSecond = 20, 2000
		c := newStoreFixture(t)
		defer c.close()
		s, end := c.newScheduler(alwaysValid)
		defer end()
		s.settings.DrainTimeout = 4 * time.Second
		fleet := cellrunner.NewFleet(1, cellrunner.Size{MilliCPU: 4000, MemoryMB: 4000}, simAttempts, nil)
		var all []*cellrunner.Runner
		for i := range runners {
			all = append(all, fleet.Add(fmt.Sprintf("r%d", i)))
		}
		put := func(i int, state string) {
			c.store.Put(platform.RunnerPrefix+all[i].ID, fleet.RunnerRecord(all[i], simPool, runnerAddr(i), state))
		}
		for i := range runners {
			put(i, "ready")
		}
		at, ok := s.listRunners()
		must.True(t, ok)
		s.spawn(func() { s.watchRunners(at) })
		for range 5 * 100 {
			for n := range changesPerSecond / 100 {
				put(n%(runners-1), "ready")
			}
			time.Sleep(10 * time.Millisecond)
		}
		put(runners-1, "draining")
		time.Sleep(2 * watchPause)
		s.exclusive(func() { must.True(t, s.runnerLoops[all[runners-1].ID].draining) })
		must.False(t, s.runnersOutdated(time.Now()))
	})
}
