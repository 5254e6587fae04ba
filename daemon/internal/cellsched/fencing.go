package cellsched

import (
	"errors"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
)

// fencingToken returns the fencing token that the cell numbers by its offset within the term. Once the tokens of the
// term are used up it ends the term: the next one has others.
func (s *Scheduler) fencingToken(offset int64) int64 {
	if offset >= election.TokensPerTerm-1 {
		s.log.Warn("[sched] fencing tokens used up; stepping down", zap.Int64("term", s.term.Number), zap.Int64("offset", offset))
		s.stepDown()
	}
	return s.term.Number + min(offset, election.TokensPerTerm-1)
}

// currentToken returns the fencing token that calls to a runner carry now.
func (s *Scheduler) currentToken(runner string) int64 {
	s.mu.Lock()
	defer s.unlock()
	offset, _ := s.cell.Token(runner)
	return s.fencingToken(offset)
}

// recordAck calls record, under s.mu, unless a restart of the runner was noticed since the acknowledged call was sent
// with the token: what the former incarnation has done does not bind the present one.
func (s *Scheduler) recordAck(runner string, token int64, record func()) {
	s.exclusive(func() {
		if !s.cell.RestartedSince(runner, token-s.term.Number) {
			record()
		}
	})
}

// refusedByFence reports whether err says that a runner refused a call because it has seen a higher fencing token
// than the call's. If this scheduler has not sent calls with a higher one to the runner itself, a later term has begun,
// and this one ends.
func (s *Scheduler) refusedByFence(err error, runner string, token int64) bool {
	var refused *platform.RefusedError
	if !errors.As(err, &refused) || refused.Reason != platform.RefusedFence {
		return false
	}
	if current := s.currentToken(runner); current > token {
		s.log.Info("[sched] runner refused a call with an earlier token", zap.String("runner", runner), zap.Int64("token", token), zap.Int64("current", current))
		return true
	}
	s.log.Warn("[sched] runner has seen a later term; stepping down", zap.String("runner", runner), zap.Int64("term", s.term.Number), zap.Int64("token", token))
	s.stepDown()
	return true
}
