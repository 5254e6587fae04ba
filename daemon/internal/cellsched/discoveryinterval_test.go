package cellsched

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against heartbeat calls that multiply when an overloaded scheduler answers late, and against a VM
// without the store that looks for a new scheduler too rarely.
func TestHeartbeatCallsBecomeRarerWhileTheyFail(t *testing.T) {
	must.Eq(t, helloInterval, discoveryInterval(0, false))
	must.Eq(t, searchInterval, discoveryInterval(1, false))
	for failures := 1; failures < 100; failures++ {
		must.GreaterEq(t, discoveryInterval(failures, false), discoveryInterval(failures+1, false))
		must.LessEq(t, helloInterval, discoveryInterval(failures, false))
		must.Eq(t, searchInterval, discoveryInterval(failures, true))
	}
	must.Eq(t, helloInterval, discoveryInterval(100, false))
}
