package cellsched

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/standin/cellstore"
)

const (
	// loadCalm is how long a day is calm at first; the last part is compared with.
	loadCalm = 12 * time.Second
	// loadBurst is how long the load of one kind is burstFactor times as high, which is
	// more than the cell has room for.
	loadBurst   = 5 * time.Second
	burstFactor = 2.6
	// loadReturn is how soon after all disturbances jobs come in time again.
	loadReturn = 10 * time.Second
	// loadMeasured is the time over which goodput is taken.
	loadMeasured = 5 * time.Second
	// loadEnd bounds the time until every accepted job has ended.
	loadEnd = time.Minute
	// slowStore is how much later a slow store answers.
	slowStore = 240 * time.Millisecond
)

// loadSizeCI is small enough for the race detector. A calm day takes four fifths of the
// calls that its processors serve.
var loadSizeCI = loadSize{runners: 50, vms: 6, calls: 400}

// burstAndTakeover plays a burst of one kind with a slow store and the loss of VMs in it;
// all tells whether all VMs are lost or the scheduler's.
func (s *loadSim) burstAndTakeover(kind int, all bool) {
	over := s.trouble()
	s.setFactor(kind, burstFactor)
	s.play(loadBurst / 3)
	s.store.SetFaults(cellstore.Faults{Slow: slowStore})
	s.play(loadBurst / 3)
	if all {
		for _, vm := range s.living() {
			s.kill(vm)
		}
	} else if leader, _ := s.leader(); leader != nil {
		s.kill(leader)
	}
	s.play(loadBurst / 3)
	s.setFactor(kind, 1)
	s.play(loadBurst / 3)
	s.store.SetFaults(cellstore.Faults{})
	over()
}

// checkPromises looks at what callers and runners have seen.
func (s *loadSim) checkPromises() {
	must.SliceEmpty(s.t, s.fleet.Broken())
	for _, at := range s.fleet.Alone() {
		must.False(s.t, s.calm(at), must.Sprintf("a member of a gang waited for the others in vain until %v, without a disturbance near", at.Sub(s.began)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.accepted {
			must.False(s.t, j.ended.IsZero(), must.Sprintf("job %s has not ended", id))
			must.Eq(s.t, cell.Completed, j.state, must.Sprintf("job %s", id))
		}
	}
}

// burstDay plays a day with a burst and a takeover, and checks that it is overcome.
func burstDay(t *testing.T, seed uint64, size loadSize, kind int, all bool) {
	synctest.Test(t, func(t *testing.T) {
		s := newLoadSim(t, seed, size)
		defer s.close()
		defer s.report()
		s.running.Go(s.watch)
		time.Sleep(2 * time.Second)
		s.play(loadCalm)
		before := s.inTime(time.Now().Add(-loadMeasured))
		s.burstAndTakeover(kind, all)
		s.play(loadReturn)
		begin := time.Now()
		s.play(loadMeasured)
		after := s.inTime(begin)
		s.finish(loadEnd)
		s.checkPromises()
		must.GreaterEq(t, before/2, after, must.Sprint("jobs in time"))
		for i, x := range s.seconds {
			must.Eq(t, 0, x.logs["[sched] runner lost"], must.Sprintf("second %d: runners that answer are taken for lost", i))
		}
	})
}

// forLoadSeeds plays one seed, or those of SIM_SEEDS.
func forLoadSeeds(t *testing.T, play func(t *testing.T, seed uint64)) {
	var from, to uint64 = 1, 1
	if v := os.Getenv("SIM_SEEDS"); v != "" {
		_, err := fmt.Sscanf(v, "%d-%d", &from, &to)
		must.NoError(t, err)
	}
	for seed := from; seed <= to; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { play(t, seed) })
	}
}

// Guards against a cell that serves nothing in time any more after a burst in which its
// scheduler is lost, on VMs that serve few calls a second.
func TestTakeoverInBurstIsOvercome(t *testing.T) {
	forLoadSeeds(t, func(t *testing.T, seed uint64) { burstDay(t, seed, loadSizeCI, int(seed-1)%3, false) })
}

// Guards against a cell that starts nothing for long, starts tasks twice or leaves gangs
// incomplete after all VMs are lost at once under a backlog.
func TestLossOfAllVMsInBurstIsOvercome(t *testing.T) {
	forLoadSeeds(t, func(t *testing.T, seed uint64) { burstDay(t, seed, loadSizeCI, int(seed)%3, true) })
}
