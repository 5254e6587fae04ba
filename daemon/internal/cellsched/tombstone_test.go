package cellsched

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against tombstones of cancelled jobs that stay in the store for ever, or that become jobs, both
// if a scheduler sees them appear and if it finds them when it starts.
func TestTombstonesAreRemovedAfterTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 1)
		defer s.close()
		s.store.Put(JobKey("0000000000000001"), tombstoneValue)
		s.startVM()
		time.Sleep(time.Second)
		sched := s.leader().local.Current()
		sched.settings.JobRetention = 2 * time.Second
		s.store.Put(JobKey("0000000000000002"), tombstoneValue)
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, sched.jobCount())
		must.SliceLen(t, 2, s.store.Keys(WorkPrefix))
		time.Sleep(retentionSlack + 2*sweepInterval)
		must.SliceEmpty(t, s.store.Keys(WorkPrefix))
	})
}
