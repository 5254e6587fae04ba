// Package cellsched runs the cell's scheduler on the entry VM that is the leader of the
// current term. It loads the stored jobs, communicates with each runner, carries out the
// decisions of package sched/cell, and stores the changed states.
package cellsched

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

const (
	// orderTimeout is many times the round-trip time to a runner. Without an answer by then, it
	// is unknown whether the order was carried out. It grows up to maxOrderTimeout with the
	// measured round-trip times.
	orderTimeout    = 500 * time.Millisecond
	maxOrderTimeout = 1500 * time.Millisecond
	// lateAnswerFactor times the timeout is how long the answer to an order is awaited in all.
	lateAnswerFactor = 2
	// leaseLimit bounds the time after which the tasks of a runner that does not answer start
	// on other runners.
	leaseLimit = 6 * time.Second
	// leaseMargin is how far leases stay below the longest lease that runners grant.
	leaseMargin = 200 * time.Millisecond
	// lateCallLimit is how long after it was sent a call without an answer may still be carried out: runners are up to
	// 12 s late, and a relay may hold a call for half a second.
	lateCallLimit = 13 * time.Second
	// executionsPerTerm is the size of each term's range of execution numbers; the ranges do
	// not overlap.
	executionsPerTerm = 1 << 20
	// minDecisionPause is the shortest pause between two decisions. With a long backlog a decision takes
	// milliseconds; the pause then grows so that decisions take decisionShare of the time, up to
	// maxDecisionPause. Reports and orders need the rest, and a later decision sees more of them at once.
	minDecisionPause = 4 * time.Millisecond
	maxDecisionPause = 100 * time.Millisecond
	decisionShare    = 0.2
	// drainMarginShare is the share of DrainTimeout that is left for an order to be sent and to
	// arrive: on a busy VM both take long. minRunnersAge is above the age that the known entries
	// of runners reach between two answers of their watch.
	drainMarginShare = 0.5
	minRunnersAge    = 1500 * time.Millisecond
	// tickInterval is the longest time after which a timeout is noticed.
	tickInterval = 100 * time.Millisecond
)

// Settings are the deployment's settings that the scheduler needs.
type Settings struct {
	VM string
	// MaxLease is the longest lease that runners grant.
	MaxLease time.Duration
	// EarlyStart is not used.
	EarlyStart time.Duration
	// JobRetention is how long after its end a job is kept in the store.
	JobRetention time.Duration
	// RemoteFactor is the slowdown of tasks that run outside the rack of their data or gang.
	RemoteFactor float64
	// StoreWritesPerSecond is the number of writes that the store accepts from all VMs together.
	StoreWritesPerSecond float64
	// StoreTimeout returns the timeout of a write to the store; nil for a fixed one.
	StoreTimeout func() time.Duration
	// Cores is the VM's CPU limit in cores; 0 if unknown.
	Cores float64
	// DrainTimeout is how long after it reported that it drains a runner may still be given work;
	// 0 for no limit.
	DrainTimeout time.Duration
	// StoreUnreachable reports whether this VM currently cannot reach the store; nil for never.
	StoreUnreachable func() bool
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// Relays tells how to spread the calls to runners over other VMs; nil to make all of them on this VM.
	Relays *RelaySettings
}

// storeTimeout returns the timeout of a write to the store.
func (s *Settings) storeTimeout() time.Duration {
	if s.StoreTimeout == nil {
		return storeCallTimeout
	}
	return s.StoreTimeout()
}

// Scheduler runs the cell's scheduler for one term.
type Scheduler struct {
	settings    Settings
	term        election.Term
	store       *platform.Store
	runners     relay.Runners
	log         *zap.Logger
	adviceQueue *adviceQueue
	orders      *orderQueue
	// idleSenders passes orders to goroutines that wait for one.
	idleSenders   chan queuedOrder
	metrics       *metrics
	leaseDuration time.Duration
	// relays makes the calls to runners through other VMs; nil if all are made on this one.
	relays *relay.Pool
	// listedRunners is the number of runners in the last full listing of their entries.
	listedRunners atomic.Int64
	// peerCalls counts the calls of other VMs to this one, shedCalls those that were refused for lack of
	// processor time; nil if they are not counted.
	peerCalls, shedCalls *countsByName
	// loadCounts holds the counts for the load report.
	loadCounts loadCounts

	mu          waitMutex
	cell        *cell.Cell
	runnerLoops map[string]*runnerLoop
	jobsLoaded  bool
	// runnersAge is the age of the known entries of runners.
	runnersAge listingAge
	// runnersWereOutdated is the last result of runnersOutdated.
	runnersWereOutdated atomic.Bool
	// sweptJobs holds the jobs that were removed recently, which a listing that was read before
	// their removal may still contain.
	sweptJobs map[string]sweptJob
	// tombstones holds the known tombstones, which are removed like expired jobs.
	tombstones tombstones
	// revisions holds the store revision of each job's state.
	revisions map[string]int64

	decisionNeeded chan struct{}
	statesDirty    chan struct{}
	// writeLimiter enforces the interval between writes of states.
	writeLimiter intervalLimiter
	// rosterChanged is signalled when runners may have been added or removed.
	rosterChanged chan struct{}
	// rosterRevision is the store revision of the roster.
	rosterRevision int64
	// startsChanged is signalled when the set of starts that may still be carried out may have changed. startsVersion is the
	// version of the set that the store holds, and startsRevision the store's revision of it. startsRecordEmpty tells that the
	// record certainly holds none.
	startsChanged     chan struct{}
	startsVersion     int
	startsRevision    int64
	startsRecordEmpty bool
	// endWaiters wakes the runner loops that wait until the ends of their runner are stored.
	endWaiters endWaiters
	// statesStored is closed and replaced after each write of states.
	statesStored chan struct{}
	stepDown     context.CancelFunc
	// broken is set after a panic while s.mu was held; see unlock.
	broken     atomic.Bool
	ctx        context.Context
	background sync.WaitGroup
}

// New returns a scheduler for a term; it fails if the metrics cannot be set up.
func New(set Settings, term election.Term, store *platform.Store, runners relay.Runners, log *zap.Logger) (*Scheduler, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	lease := min(set.MaxLease-leaseMargin, leaseLimit)
	return &Scheduler{
		settings: set, term: term, store: store, runners: runners, log: log, leaseDuration: lease,
		adviceQueue: newAdviceQueue(term.Number), orders: newOrderQueue(set.LinkMbps), idleSenders: make(chan queuedOrder), metrics: m,
		cell: cell.New(time.Now(), cell.Config{
			Lease: lease, MaxLease: set.MaxLease, OrderTimeout: orderTimeout,
			// An earlier scheduler may still grant leases for StoreOutageTolerance. The added
			// second is more than the cell's margin for slow runner clocks and network delay.
			InheritedRunTimeout: election.StoreOutageTolerance + lease + time.Second,
			LateCallLimit:       lateCallLimit,
			FirstExecution:      (term.Number-1)*executionsPerTerm + 1,
			RemoteFactor:        set.RemoteFactor,
		}),
		runnerLoops: make(map[string]*runnerLoop), revisions: make(map[string]int64), sweptJobs: make(map[string]sweptJob), tombstones: make(tombstones),
		endWaiters:     newEndWaiters(),
		decisionNeeded: make(chan struct{}, 1), statesDirty: make(chan struct{}, 1), rosterChanged: make(chan struct{}, 1), startsChanged: make(chan struct{}, 1), statesStored: make(chan struct{}),
	}, nil
}

// Run runs the scheduler until the context ends or it detects that its term is over.
func (s *Scheduler) Run(ctx context.Context) {
	s.exclusive(func() { s.ctx, s.stepDown = context.WithCancel(ctx) })
	defer s.stepDown()
	if s.broken.Load() {
		return
	}
	s.startRelays()
	s.spawn(s.loadLoop)
	begin := time.Now()
	work, ok := s.loadFromStore()
	if !ok {
		return
	}
	s.log.Info("[sched] jobs loaded", zap.Int64("term", s.term.Number), zap.Int("jobs", s.jobCount()),
		zap.Duration("took", time.Since(begin)))
	s.spawn(func() { s.watchWork(work) })
	for range persistWorkers {
		s.spawn(s.persistLoop)
	}
	s.spawn(s.rosterLoop)
	s.spawn(s.startsRecordLoop)
	s.spawn(s.sweepLoop)
	s.decideLoop()
	s.background.Wait()
	s.flush()
}

func (s *Scheduler) spawn(f func()) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		f()
	}()
}

func (s *Scheduler) jobCount() int {
	s.mu.Lock()
	defer s.unlock()
	return s.cell.JobCount()
}

// requestDecision makes the decision loop run soon.
func (s *Scheduler) requestDecision() { signal(s.decisionNeeded) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Configure applies the queues and client accounts of a version of the configuration.
func (s *Scheduler) Configure(version int64, queues []cell.Queue, accounts []cell.ClientAccount) {
	s.exclusive(func() {
		s.cell.SetQueues(queues)
		s.cell.SetClientAccounts(version, accounts)
	})
	s.requestDecision()
}
