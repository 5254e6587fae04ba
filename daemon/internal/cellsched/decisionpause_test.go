package cellsched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against decisions over a long backlog that leave no processor time for reports and orders, and
// against pauses that delay starts in a cell without backlog.
func TestLongDecisionsArePausedInProportion(t *testing.T) {
	must.Eq(t, minDecisionPause, decisionPause(0))
	must.Eq(t, minDecisionPause, decisionPause(time.Millisecond))
	for _, took := range []time.Duration{2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond} {
		must.Between(t, decisionShare-0.01, float64(took)/float64(took+decisionPause(took)), decisionShare+0.01)
	}
	must.Eq(t, maxDecisionPause, decisionPause(time.Second))
}
