package cell

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// playBurst simulates normal load, a burst of one kind, normal load again, and then no new
// jobs until all jobs have ended.
func playBurst(t *testing.T, seed uint64, kind int) *largeCellSim {
	name := fmt.Sprint(seed, " ", kind)
	w := playedBursts[name]
	if w == nil {
		w = newLargeCellSim(t, seed)
		w.play(calmSeconds * time.Second)
		w.factor[kind] = burstFactor
		w.play(burstSeconds * time.Second)
		w.factor[kind] = 1
		w.play(recoverySeconds * time.Second)
		w.drain()
		playedBursts[name] = w
	}
	w.t = t
	if os.Getenv("SIM_LOG") != "" {
		w.logSeconds()
	}
	return w
}

// forEachBurst runs a test on one simulated burst, or, with SIM_SEEDS, on a burst of each
// kind for each seed.
func forEachBurst(t *testing.T, test func(t *testing.T, w *largeCellSim)) {
	var from, to uint64 = 1, 1
	kinds := []int{1}
	if v := os.Getenv("SIM_SEEDS"); v != "" {
		_, err := fmt.Sscanf(v, "%d-%d", &from, &to)
		must.NoError(t, err)
		kinds = []int{0, 1, 2}
	}
	for seed := from; seed <= to; seed++ {
		for _, kind := range kinds {
			t.Run(fmt.Sprintf("%s/%d", largeCellKinds()[kind].queue.Name, seed), func(t *testing.T) {
				test(t, playBurst(t, seed, kind))
			})
		}
	}
}

// Guards against a cell that finishes no jobs in time after a burst is over, and against
// accepted jobs that never end.
func TestGoodputReturnsAfterBurst(t *testing.T) {
	forEachBurst(t, func(t *testing.T, w *largeCellSim) {
		const end = calmSeconds + burstSeconds
		before, back := w.between(calmSeconds-5, calmSeconds), w.between(end+20, end+25)
		must.Eq(t, 0, w.open, must.Sprint("accepted jobs that did not end"))
		must.SliceEmpty(t, w.violations)
		must.GreaterEq(t, before.inTime/2, back.inTime)
		for n, kind := range w.kinds {
			must.GreaterEq(t, before.inTimeOf[n]/2, back.inTimeOf[n], must.Sprintf("jobs of %s that ended in time", kind.queue.Name))
		}
	})
}

// Guards against gangs that wait although there is free capacity: each gets tickets only
// for runners whose capacity another gang takes before the advisor has answered.
func TestWaitingGangsGetFreeCapacity(t *testing.T) {
	forEachBurst(t, func(t *testing.T, w *largeCellSim) {
		must.MapEmpty(t, w.heldBack, must.Sprintf("steps that waited despite free capacity, and how long: %v", w.heldBack))
	})
}

// Guards against gangs that wait beside free capacity because earlier attempts failed: a member failed by
// its own fault, an order or an answer of the advisor was lost.
func TestGangsGetFreeCapacityAfterFailedAttempts(t *testing.T) {
	for name, faults := range map[string]largeCellFaults{
		"failed":       {failed: 0.02},
		"lost starts":  {lostStarts: 0.02},
		"lost answers": {lostAnswers: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLargeCellSim(t, 1)
			w.faults = faults
			w.play(calmSeconds * time.Second)
			w.drain()
			must.Eq(t, 0, w.open, must.Sprint("accepted jobs that did not end"))
			must.SliceEmpty(t, w.violations)
			must.MapEmpty(t, w.heldBack, must.Sprintf("steps that waited despite free capacity, and how long: %v", w.heldBack))
		})
	}
}

// Guards against jobs that wait long for writes of states after a burst, because the begin
// marks that starts need wait behind the states of other jobs. The store takes 15 states
// every 40 ms, which is a full write at the scheduler's default interval and little more than
// normal load needs.
func TestGoodputReturnsWhileWritesAreBounded(t *testing.T) {
	const calm, burst, back = 12, 6, 10
	w := newLargeCellSim(t, 1)
	w.statesPerWrite, w.writeGap = 15, 40*time.Millisecond
	w.play(calm * time.Second)
	w.factor[0] = burstFactor
	w.play(burst * time.Second)
	w.factor[0] = 1
	w.play((back + 5) * time.Second)
	if os.Getenv("SIM_LOG") != "" {
		w.logSeconds()
	}
	before, after := w.between(calm-5, calm), w.between(calm+burst+back, calm+burst+back+5)
	must.SliceEmpty(t, w.violations)
	must.GreaterEq(t, before.inTime/2, after.inTime, must.Sprint("jobs that ended in time"))
}

// playedBursts caches the simulations, since several tests check the same ones.
var playedBursts = make(map[string]*largeCellSim)
