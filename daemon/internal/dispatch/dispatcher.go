package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/sched/quorum"
	platform "rhubarbstall.example/wire/platform"
)

const (
	// syncPeriod is the longest pause between two syncs with a worker. Each pause is up
	// to a tenth shorter at random.
	syncPeriod = time.Second
	// callTimeout bounds a call to a worker. It is shorter than syncPeriod, so that a
	// slow worker misses at most one sync.
	callTimeout = 900 * time.Millisecond
	// maxStartsPerRound bounds the starts of one decision round.
	maxStartsPerRound = 256
	// maxStartsPerCall, maxActionsPerCall and maxAcksPerSync bound the items of one call.
	maxStartsPerCall  = 64
	maxActionsPerCall = 512
	maxAcksPerSync    = 2048
	// refusalBackoff is how long a worker that refused a start gets no new starts.
	// Otherwise the engine would select the same worker again at once.
	refusalBackoff = 500 * time.Millisecond
)

// Config configures a Dispatcher.
type Config struct {
	Leadership Leadership
	Store      JobStore
	Engine     model.Engine
	Transport  Transport
	// Zone is the availability zone of the workers.
	Zone string
	// VMs returns the VMs that the platform lists.
	VMs func() []platform.VM
	// TaskLease returns the length of the task leases to request.
	TaskLease func() time.Duration
	// Policies returns the policies and their settings revision.
	Policies func() (model.Policies, uint64)
	Logger   *zap.Logger
	Meter    metric.Meter
	Tracer   trace.Tracer
}

// Dispatcher claims the workers of a zone during one campaign. While it has the
// quorum, it starts and stops tasks. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	metrics *metrics

	mu     sync.Mutex
	engine model.Engine
	links  map[string]*link
	// attemptByTask maps a task to its attempt in progress.
	attemptByTask map[task]*attempt
	// startsInFlight counts, per job, the sent starts whose result is not known yet.
	startsInFlight map[string]int
	// settledWaiters contains, per job, the channels to close when no start is in flight.
	settledWaiters map[string][]chan struct{}
	// activeAttempts counts the attempts in progress per job.
	activeAttempts map[string]int
	// linksToSend contains the links with queued starts whose intents were stored since
	// the last round.
	linksToSend map[*link]bool
	// drained contains the workers that an operator drained.
	drained        map[string]bool
	recovered      bool
	policyRevision uint64
	hasPolicy      bool
	wake           chan struct{}
	// ctx is the context of Run; stopped means that no new goroutine may start.
	ctx     context.Context
	stopped bool
	wg      sync.WaitGroup
}

// task identifies a task without an attempt.
type task struct {
	job   string
	index int
}

func taskOf(ref model.TaskRef) task { return task{ref.Job, ref.Index} }

// New returns a Dispatcher. Call Run to start it.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, engine: cfg.Engine, metrics: newMetrics(cfg.Meter),
		links: make(map[string]*link), attemptByTask: make(map[task]*attempt),
		startsInFlight: make(map[string]int), settledWaiters: make(map[string][]chan struct{}),
		activeAttempts: make(map[string]int), linksToSend: make(map[*link]bool), drained: make(map[string]bool), wake: make(chan struct{}, 1),
	}
}

// Run claims workers and carries out scheduling decisions until ctx ends. It returns
// after all goroutines of the Dispatcher have ended.
func (d *Dispatcher) Run(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.stopped = true
		d.mu.Unlock()
		d.wg.Wait()
	}()
	refresh := time.NewTicker(syncPeriod)
	defer refresh.Stop()
	decide := time.NewTimer(0)
	defer decide.Stop()
	d.refreshLinks(ctx)
	quorumReached := d.cfg.Leadership.QuorumReached()
	for {
		select {
		case <-quorumReached:
			quorumReached = nil
			d.syncAllNow()
		case <-ctx.Done():
			return
		case <-refresh.C:
			d.refreshLinks(ctx)
			continue
		case <-d.wake:
		case <-decide.C:
		}
		next := d.runRound(ctx)
		decide.Reset(next)
	}
}

// syncAllNow starts a sync with every worker. Recovery waits for the first syncs
// that are sent with the quorum.
func (d *Dispatcher) syncAllNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		l.syncNow()
	}
}

// RequestRound triggers a decision round.
func (d *Dispatcher) RequestRound() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// refreshLinks adds and removes links to match the roster, and updates their addresses.
func (d *Dispatcher) refreshLinks(ctx context.Context) {
	addrs := make(map[string]string)
	for _, vm := range d.cfg.VMs() {
		if vm.Role == platform.RoleWorker && vm.AvailabilityZone == d.cfg.Zone {
			addrs[vm.ID] = vm.Addr
		}
	}
	roster := make(map[string]bool)
	for _, id := range d.cfg.Leadership.Workers() {
		roster[id] = true
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range roster {
		l, ok := d.links[id]
		if !ok {
			l = newLink(id, now)
			l.draining = d.drained[id]
			d.links[id] = l
			linkCtx, cancel := context.WithCancel(ctx)
			l.cancel = cancel
			d.wg.Add(1)
			go d.runLink(linkCtx, l)
		}
		if addr, ok := addrs[id]; ok {
			l.addr = addr
		}
	}
	for id, l := range d.links {
		if roster[id] {
			continue
		}
		// A worker leaves the roster only after its leases have expired.
		l.cancel()
		d.recordAllLost(now, l, nil)
		d.engine.RemoveWorker(now, id)
		delete(d.links, id)
	}
}

// Removable reports whether no task can still run on a worker.
func (d *Dispatcher) Removable(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[worker]
	return d.recovered && ok && l.leasesExpired && len(l.attempts) == 0
}

// runLink syncs periodically with one worker until ctx ends.
func (d *Dispatcher) runLink(ctx context.Context, l *link) {
	defer d.wg.Done()
	// Spread the first syncs of all links, so that a new zone scheduler does not send
	// and receive all of them at the same time.
	timer := time.NewTimer(rand.N(syncPeriod / 4))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		if !l.acquire(ctx) {
			return
		}
		d.syncWorker(ctx, l)
		l.release()
		timer.Reset(syncPeriod - syncPeriod/10 + rand.N(syncPeriod/10))
	}
}

// leaseExpiryWait returns the time after the last call that may have extended leases
// on a worker until all of its leases have expired.
func (d *Dispatcher) leaseExpiryWait() time.Duration {
	return quorum.ExpiryWait(d.cfg.TaskLease() + d.cfg.Leadership.LeaseDuration())
}
