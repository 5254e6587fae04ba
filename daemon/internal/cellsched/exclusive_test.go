package cellsched

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/sched/cell"
)

// panicUnderLock makes a scheduler panic while it holds its lock, in a call whose server recovers
// from panics, as those of other VMs and of clients do.
func panicUnderLock(s *Scheduler) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("[peers] method panicked", zap.Any("panic", p))
		}
	}()
	// A call without a group does not exist, so its result is a nil pointer.
	s.adviceQueue.add(cell.AdviceCall{})
	id, _, _ := s.adviceQueue.waitForCall(s.ctx, "vm")
	s.RecordAdviceResult(AdviceResult{ID: id})
}

// Guards against a VM that keeps the scheduler's role without acting: a method panics while the lock is
// held, the server recovers from it, and the lease is renewed although all that needs the lock hangs.
func TestPanicWhileTheLockIsHeldHandsTheRoleOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 1)
		for range simVMs {
			s.startVM()
		}
		time.Sleep(2 * time.Second)
		s.submit(1)
		first := s.leader().local.Current()
		panicUnderLock(first)
		if !first.mu.mu.TryLock() {
			// Without the lock the VMs could not be stopped either.
			panic("the lock is still held")
		}
		first.mu.Unlock()
		defer s.close()
		time.Sleep(time.Second)
		s.submit(2)
		time.Sleep(20 * time.Second)
		must.NotNil(t, s.leader())
		must.True(t, first != s.leader().local.Current(), must.Sprint("the role was not handed over"))
		s.mustComplete(2)
		must.Eq(t, 1, s.panics.Load())
	})
}
