package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/once"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/sched/admission"
	"rhubarbstall.example/settings"
)

const (
	// maxHops bounds the forwards of one request.
	maxHops = 2
	// refreshInterval is the period at which the router applies new VM lists and
	// peer reports and frees slots whose hold time is over.
	refreshInterval = 50 * time.Millisecond
)

// Router serves the requests of one entry VM. It is safe for concurrent use.
type Router struct {
	cfg           Config
	log           *zap.Logger
	now           func() time.Time
	vmListTimeout time.Duration
	metrics       *metrics
	policies      policies
	once          *once.Registry
	// bodyBytesInProgress is the total size of the bodies of the callers' requests in
	// progress.
	bodyBytesInProgress atomic.Int64

	mu           sync.Mutex
	admission    *admission.Controller
	budget       admission.RetryBudget
	upstreams    []*upstream
	upstreamByID map[string]*upstream
	ownerIDs     []string
	vmListAt     time.Time
	join         *joinState
	peers        map[string]*peerState
	// typicalDurations holds a moving average of the run time of each kind on a
	// runner.
	typicalDurations map[string]time.Duration
	lastAttemptID    uint64
	// kindsDeclared is set once kinds were declared to the admission controller;
	// declaredRevision is the settings revision they came from.
	kindsDeclared    bool
	declaredRevision uint64
	// activeRequests counts the requests in progress, including forwarded ones.
	activeRequests int
	draining       bool
	idleWaiters    []chan struct{}
}

// New returns a router and registers its RPC methods with the peer server. The
// router uses no slot until Run has completed the join with the other owners of
// the zone.
func New(cfg Config) *Router {
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = cfg.View.Self().Incarnation
	}
	r := &Router{
		cfg:              cfg,
		log:              cfg.Logger,
		now:              time.Now,
		vmListTimeout:    vmListTimeout,
		policies:         policies{resolvePolicy: (*settings.Document).Resolve},
		admission:        admission.New(admission.Config{}),
		upstreamByID:     map[string]*upstream{},
		peers:            map[string]*peerState{},
		typicalDurations: map[string]time.Duration{},
	}
	r.join = newJoinState(r.now())
	r.metrics = newMetrics(cfg.Meter, r)
	r.once = once.New(once.Config{
		Self: cfg.Self, View: cfg.View, VMs: cfg.VMs, Store: cfg.Store, Peers: cfg.Peers, Server: cfg.Server,
		Retention: r.retention, Logger: cfg.Logger, Meter: cfg.Meter,
	})
	peer.Handle(cfg.Server, methodJoin, r.handleJoin)
	peer.Handle(cfg.Server, methodForward, r.handleForward)
	return r
}

// Run keeps VM list, slots and queues up to date until the context ends. It then
// closes the idle connections to runners.
func (r *Router) Run(ctx context.Context) error {
	r.mu.Lock()
	r.join.startedAt = r.now()
	r.mu.Unlock()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	joins := make(chan struct{}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r.mu.Lock()
		r.refreshState(r.now())
		r.completeJoin(r.now())
		r.updateUsableSlots()
		r.dispatchQueued(r.now())
		r.probeLeavingRunners(ctx, r.now(), &wg)
		r.mu.Unlock()
		select {
		case joins <- struct{}{}:
			wg.Go(func() {
				r.sendJoinRequests(ctx)
				<-joins
			})
		default:
		}
		select {
		case <-ctx.Done():
			r.closeConnections()
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Router) retention() time.Duration {
	doc, _, ok := r.cfg.Settings.Current()
	if !ok {
		return defaultKeyRetention
	}
	return keyRetention(doc)
}

func (r *Router) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		u.close()
	}
}

// beginRequest counts a request in progress. It returns false if the router is
// draining. Forwarded requests are also refused then, since the sender can
// choose another entry VM.
func (r *Router) beginRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.activeRequests++
	return true
}

func (r *Router) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeRequests--
	r.notifyIdle()
}

func (r *Router) notifyIdle() {
	if r.activeRequests > 0 {
		return
	}
	for _, ch := range r.idleWaiters {
		close(ch)
	}
	r.idleWaiters = nil
}
