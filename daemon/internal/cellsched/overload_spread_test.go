package cellsched

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Load on VMs of which none can carry the calls with all runners.
const (
	// spreadRunners is large enough that what a VM spends for each runner exceeds what it spends
	// for each other VM.
	spreadRunners = 60
	spreadVMs     = 8
	// spreadCallsPerRunner is how many calls a second a VM serves for each runner: three quarters
	// of what normal load takes.
	spreadCallsPerRunner = 4
	// spreadCores is the cores of each VM. They are so few that the scheduler needs several relays for
	// spreadRunners.
	spreadCores = 0.1
)

// shareInTimeUnderNormalLoad returns the share of jobs that end in time under normal load on VMs that
// serve a number of calls a second.
func shareInTimeUnderNormalLoad(t *testing.T, seed uint64, callsPerSecond int) (share float64) {
	synctest.Test(t, func(t *testing.T) {
		s := newLoadSim(t, seed, deploymentSize{runners: spreadRunners, vms: spreadVMs, callsPerSecond: callsPerSecond, coresPerVM: spreadCores})
		defer s.close()
		defer s.logSeconds()
		s.running.Go(s.recordJobEnds)
		time.Sleep(2 * time.Second)
		s.generateLoad(normalLoadDuration / 2)
		from := time.Now()
		s.generateLoad(measuredDuration)
		s.drain(drainLimit)
		s.checkGuarantees()
		share = s.inTimeShare(from)
	})
	return share
}

// Guards against a cell that serves no more than what the processor of one VM carries, while all
// others are idle.
func TestLoadBeyondTheSchedulersVMIsCarriedByOthers(t *testing.T) {
	runSeeds(t, 1, func(t *testing.T, seed uint64) {
		unlimited := shareInTimeUnderNormalLoad(t, seed, 1e6)
		share := shareInTimeUnderNormalLoad(t, seed, spreadCallsPerRunner*spreadRunners)
		must.GreaterEq(t, 0.9*unlimited, share, must.Sprintf("share of jobs in time; %.3f without a limit of the processors", unlimited))
	})
}
