package cellsched

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// simRandomSeeds is the number of seeds, from 1 on, that a test run uses. Under the race detector
// they take less than two minutes on a busy machine.
const simRandomSeeds = 40

// simRegressionSeeds are used as well. They include each seed that ever failed, with the cause.
var simRegressionSeeds = []uint64{
	// A runner restarted and ended a run before its first report. It dropped the end, because
	// the lease renewal acknowledged the ends of the runner's previous incarnation.
	56, 67,
}

// Guards against tasks that run twice, lost jobs, overfilled runners and dropped ends of runs.
// VMs are killed and partitioned at random, the store fails, and orders arrive late.
func TestRandomFaults(t *testing.T) {
	seeds := simRegressionSeeds
	for i := range simRandomSeeds {
		seeds = append(seeds, uint64(i+1))
	}
	if v := os.Getenv("SIM_SEEDS"); v != "" {
		var from, to uint64
		_, err := fmt.Sscanf(v, "%d-%d", &from, &to)
		must.NoError(t, err)
		seeds = nil
		for i := from; i <= to; i++ {
			seeds = append(seeds, i)
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSim(t, seed).run() })
		})
	}
}
