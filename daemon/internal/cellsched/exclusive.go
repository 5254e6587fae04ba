package cellsched

import (
	"go.uber.org/zap"
)

// panicMessage is logged when a scheduler recovers from a panic.
const panicMessage = "[sched] panic in the scheduler's state; stepping down"

// exclusive runs f while it holds s.mu; see unlock.
func (s *Scheduler) exclusive(f func()) {
	s.mu.Lock()
	defer s.unlock()
	f()
}

// unlock releases s.mu. It must be deferred directly: if the caller panics, it recovers and ends the
// term, and the caller returns its results as they are. The cell may be half changed then, so nothing
// of it is stored or ordered any more, and the next scheduler starts from the records in the store.
//
// A panic that is left to the caller would end the process, or, where a server recovers from it, leave
// the lock held: the VM would renew its lease and keep the role without acting.
func (s *Scheduler) unlock() {
	defer s.mu.Unlock()
	p := recover()
	if p == nil {
		return
	}
	s.broken.Store(true)
	s.log.Error(panicMessage, zap.Int64("term", s.term.Number),
		zap.Any("panic", p), zap.Stack("stack"))
	if s.stepDown != nil {
		s.stepDown()
	}
}

// mayAct reports whether the scheduler may still order anything.
func (s *Scheduler) mayAct() bool { return !s.broken.Load() && s.term.Valid() }
