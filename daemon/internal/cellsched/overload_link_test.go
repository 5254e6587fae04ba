package cellsched

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Load on a VM whose network link is just enough for normal load.
const (
	// narrowLinkPayload is the payload of each job. narrowLinkBytesPerRunner is the bandwidth
	// for each runner; normal load takes four fifths of it.
	narrowLinkPayload        = 900
	narrowLinkBytesPerRunner = 4000
	// linkRecoveryLimit is the time after a burst within which jobs end in time again: the
	// burst leaves about two seconds of orders, which the spare fifth of the link carries.
	linkRecoveryLimit = 12 * time.Second
)

// testBurstOnNarrowLink runs a burst of jobs with more start orders than the link of the
// scheduler's VM carries, and checks what callers and runners saw.
func testBurstOnNarrowLink(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		size := sizeForRunners(ciRunners)
		size.callsPerSecond *= 100
		size.payloadBytes, size.linkBytesPerSecond = narrowLinkPayload, narrowLinkBytesPerRunner*ciRunners
		s := newLoadSim(t, seed, size)
		defer s.close()
		defer s.logSeconds()
		s.running.Go(s.recordJobEnds)
		time.Sleep(2 * time.Second)
		s.generateLoad(normalLoadDuration)
		before := time.Now().Add(-measuredDuration - 2*time.Second)
		s.setLoadFactor(0, burstFactor)
		s.generateLoad(burstDuration)
		s.setLoadFactor(0, 1)
		s.generateLoad(linkRecoveryLimit)
		after := time.Now()
		s.generateLoad(measuredDuration)
		s.drain(drainLimit)
		normalShare, share := s.inTimeShare(before), s.inTimeShare(after)
		must.SliceEmpty(t, s.fleet.Violations())
		must.GreaterEq(t, 0.9*normalShare, share, must.Sprint("share of the jobs submitted after the burst that ended in time"))
		for i, x := range s.seconds {
			must.Eq(t, 0, x.logs["[sched] run lost"], must.Sprintf("second %d: a run was given up although every runner is alive", i))
		}
	})
}

// inTimeShare returns the share of the jobs submitted within measuredDuration after a time that
// ended in time.
func (s *loadSim) inTimeShare(from time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	submitted, inTime := 0, 0
	for _, j := range s.jobs {
		if j.submittedAt.Before(from) || !j.submittedAt.Before(from.Add(measuredDuration)) {
			continue
		}
		submitted++
		if !j.endedAt.IsZero() && j.endedAt.Sub(j.submittedAt) <= j.expectedDuration {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, submitted))
}

// Guards against a cell that collapses on a full link: orders that wait in the link longer than
// their timeout were repeated, stopped and sent over new connections, which kept the link full
// after the burst.
func TestRecoversFromBurstOnNarrowLink(t *testing.T) {
	runSeeds(t, 2, testBurstOnNarrowLink)
}
