package relay

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

const (
	// holdLimit is how long a relay holds a batch until a call has ended. A relay that does not
	// answer for longer counts as lost.
	holdLimit = 250 * time.Millisecond
	// sessionTimeout is how long after its last batch a session ends. Its scheduler is lost or has
	// ended the term.
	sessionTimeout = 5 * time.Second
)

// runnerClient is the part of platform.Runners that a relay needs.
type runnerClient interface {
	RenewLeaseRaw(ctx context.Context, to platform.RunnerAddr, req platform.RenewLeaseRequest) (platform.RawReport, platform.RunnerClock, error)
	Start(ctx context.Context, to platform.RunnerAddr, o platform.StartOrder) (platform.RunnerClock, error)
	Stop(ctx context.Context, to platform.RunnerAddr, task cell.TaskRef, execution, fencingToken int64) (platform.RunnerClock, error)
	SetSpeed(ctx context.Context, to platform.RunnerAddr, task cell.TaskRef, execution, fencingToken int64, percent int) (platform.RunnerClock, error)
}

// Clock returns the time since a fixed point. It never goes back and includes the time for which the
// machine is suspended.
type Clock func() time.Duration

// Server makes the calls of schedulers on other VMs. It is safe for concurrent use.
type Server struct {
	runners  runnerClient
	clock    Clock
	instance string
	log      *zap.Logger
	leaving  atomic.Bool

	mu       sync.Mutex
	sessions map[string]*serverSession
}

// NewServer returns a relay that calls runners through a client.
func NewServer(runners runnerClient, clock Clock, log *zap.Logger) *Server {
	return &Server{runners: runners, clock: clock, instance: rand.Text(), log: log, sessions: make(map[string]*serverSession)}
}

// Leave tells schedulers from now on to use other relays. Calls are made all the same until then.
func (s *Server) Leave() { s.leaving.Store(true) }

// Exchange starts the calls of a batch and returns the answers of the calls that have ended. It waits
// for one up to holdLimit, or until the next batch of the session arrives.
func (s *Server) Exchange(ctx context.Context, b *Batch) *Reply {
	var answers []Answer
	if b.Instance == "" || b.Instance == s.instance {
		x := s.session(b.Session)
		turn := x.begin()
		x.cancel(b.Cancelled)
		for i := range b.Calls {
			x.start(b, &b.Calls[i])
		}
		if b.Instance != "" {
			x.wait(ctx, turn, b)
		}
		answers = x.take(ctx)
	}
	return &Reply{Instance: s.instance, Clock: s.clock(), CallTokens: true, Leaving: s.leaving.Load(), Answers: answers}
}

// session returns a session, which it begins if it does not exist. It ends sessions without batches.
func (s *Server) session(id string) *serverSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for other, x := range s.sessions {
		if other != id && x.idleSince(now) > sessionTimeout {
			x.end()
			delete(s.sessions, other)
			s.log.Info("[relay] session ended", zap.String("session", other))
		}
	}
	x := s.sessions[id]
	if x == nil {
		x = newServerSession(s)
		s.sessions[id] = x
		s.log.Info("[relay] session began", zap.String("session", id))
	}
	x.used(now)
	return x
}
