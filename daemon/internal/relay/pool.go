package relay

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/sched/relays"
)

const (
	// updateInterval is the longest time after which relays are selected again.
	updateInterval = 250 * time.Millisecond
	// minGather and maxGather bound the least time between two batches to a relay. In between it grows
	// with the number of relays, so that the scheduler's VM exchanges batchesPerCore a second for each of its
	// cores with all of them: its processor time for batches must not grow with the cell.
	minGather      = 8 * time.Millisecond
	maxGather      = 80 * time.Millisecond
	batchesPerCore = 400
	// patientGather is the least time between two batches whose calls or answers nothing waits for.
	patientGather = 50 * time.Millisecond
	// minExclusion and maxExclusion bound the time for which a lost relay is not selected again. It
	// doubles with each loss.
	minExclusion = 2 * time.Second
	maxExclusion = 16 * time.Second
	// leavingExclusion is longer than a VM takes to shut down.
	leavingExclusion = 15 * time.Second
	// directAfter is how long after the loss of its last relay a scheduler makes calls itself. New relays
	// usually reply sooner, and calls with all runners would take the processor from them.
	directAfter = 1500 * time.Millisecond
	// closeTimeout is how long a relay that is not used any more may take for the calls under way.
	closeTimeout = 3 * time.Second
)

// Config holds what a Pool depends on.
type Config struct {
	// Session begins the names of the pool's sessions. No other pool uses it.
	Session      string
	FencingToken int64
	// OwnCores is the capacity of the scheduler's VM in cores.
	OwnCores float64
	// Candidates returns the VMs that may be relays.
	Candidates func() []relays.VM
	// Runners returns the number of runners.
	Runners func() int
	// Exchange sends a batch to a VM and returns its reply.
	Exchange func(ctx context.Context, to relays.VM, b *Batch) (*Reply, error)
	Clock    Clock
	// MayAct reports whether the scheduler's term allows orders.
	MayAct func() bool
	// Direct calls runners without a relay.
	Direct Runners
	Log    *zap.Logger
}

// Pool makes the calls of a scheduler to runners through relays, or directly while there are none. It
// is safe for concurrent use.
type Pool struct {
	config Config
	ctx    context.Context
	// changed is signalled when the relays have to be selected again.
	changed chan struct{}
	workers sync.WaitGroup
	// gather is the least time between two batches to a relay.
	gather atomic.Int64
	// batches and calls count what was sent to relays.
	batches, calls atomic.Int64

	mu sync.RWMutex
	// selected are the relays of the last selection, sessions those with a session, by name.
	selected []relays.VM
	sessions map[string]*session
	// active are the relays that have replied, which share the runners; owners caches who relays
	// the calls to a runner.
	active []*session
	owners map[string]*session
	// changedAt is when the active relays changed last; zero if none is needed.
	changedAt time.Time
	started   int
	// excluded holds the VMs that are not selected for some time.
	excluded map[string]exclusion
}

// exclusion tells until when a VM is not selected, and for how long it was excluded.
type exclusion struct {
	until    time.Time
	duration time.Duration
}

// NewPool returns a pool without relays, which is usable until the context ends.
func NewPool(ctx context.Context, c Config) *Pool {
	p := &Pool{
		config: c, ctx: ctx, changed: make(chan struct{}, 1),
		sessions: make(map[string]*session), owners: make(map[string]*session), excluded: make(map[string]exclusion),
	}
	p.gather.Store(int64(minGather))
	return p
}

// Run keeps sessions with as many relays as the runners need. It returns after the pool's context
// has ended; calls under way then fail with ErrLost.
func (p *Pool) Run() {
	p.workers.Go(p.watch)
	for p.ctx.Err() == nil {
		p.update(time.Now())
		select {
		case <-p.ctx.Done():
		case <-p.changed:
		case <-time.After(updateInterval):
		}
	}
	p.mu.Lock()
	sessions := p.sessions
	p.sessions, p.active, p.owners = make(map[string]*session), nil, make(map[string]*session)
	p.mu.Unlock()
	for _, x := range sessions {
		x.finish(fmt.Errorf("%w: the term has ended", ErrLost))
	}
	p.workers.Wait()
}

// watch looks for relays that do not reply.
func (p *Pool) watch() {
	for wait.For(p.ctx, watchInterval) {
		p.mu.RLock()
		sessions := slices.Collect(maps.Values(p.sessions))
		p.mu.RUnlock()
		for _, x := range sessions {
			x.watch()
		}
	}
}

// update selects the relays again. It begins a session with each new one, retires the sessions with VMs
// that are relays no more, and shares the runners among the relays.
func (p *Pool) update(now time.Time) {
	runners := p.config.Runners()
	candidates := p.config.Candidates()
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := candidates[:0:0]
	for _, vm := range candidates {
		if now.After(p.excluded[vm.Name].until) {
			usable = append(usable, vm)
		}
	}
	p.selected = relays.Select(usable, p.selected, p.config.OwnCores, runners)
	if len(p.selected) == 0 && len(relays.Select(candidates, nil, p.config.OwnCores, runners)) == 0 {
		// No relay is needed, or there is no VM that could be one.
		p.changedAt = time.Time{}
	}
	wanted := make(map[string]bool, len(p.selected))
	for _, vm := range p.selected {
		wanted[vm.Name] = true
		if x := p.sessions[vm.Name]; x == nil || x.vm != vm {
			p.begin(vm)
		}
	}
	for name, x := range p.sessions {
		if !wanted[name] {
			p.config.Log.Info("[relay] relay not used any more", zap.String("vm", name))
			p.retire(x)
		}
	}
	p.share()
}

// begin begins a session with a relay. The caller holds p.mu.
func (p *Pool) begin(vm relays.VM) {
	if old := p.sessions[vm.Name]; old != nil {
		p.retire(old)
	}
	p.started++
	x := newSession(p.ctx, p, vm, fmt.Sprintf("%s/%s/%d", p.config.Session, vm.Name, p.started))
	p.sessions[vm.Name] = x
	for range maxBatchesUnderWay {
		p.workers.Go(x.work)
	}
}

// retire stops passing new calls to a session, and ends it once its calls have ended. The caller holds
// p.mu.
func (p *Pool) retire(x *session) {
	delete(p.sessions, x.vm.Name)
	p.workers.Go(func() {
		ctx, cancel := context.WithTimeout(x.ctx, closeTimeout)
		defer cancel()
		for x.callCount() > 0 && wait.For(ctx, updateInterval) {
		}
		x.finish(fmt.Errorf("%w: it is not used any more", ErrLost))
	})
}

// share divides the runners among the relays that have replied. The caller holds p.mu.
func (p *Pool) share() {
	before := len(p.active)
	same := true
	var active []*session
	for _, vm := range p.selected {
		if x := p.sessions[vm.Name]; x != nil && x.ready() {
			same = same && len(active) < before && p.active[len(active)] == x
			active = append(active, x)
		}
	}
	if same && len(active) == before {
		return
	}
	p.changedAt = time.Now()
	p.active = active
	gather := time.Duration(float64(len(active)) / (batchesPerCore * p.config.OwnCores) * float64(time.Second))
	p.gather.Store(int64(min(max(minGather, gather), maxGather)))
	p.owners = make(map[string]*session)
	p.config.Log.Info("[relay] relays changed", zap.Int("relays", len(active)), zap.Int("before", before), zap.Int("selected", len(p.selected)))
}

// replied handles the first reply of a relay, or one that says that the relay leaves.
func (p *Pool) replied(x *session, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[x.vm.Name] != x {
		return
	}
	if leaving {
		p.config.Log.Info("[relay] relay leaves", zap.String("vm", x.vm.Name))
		p.excluded[x.vm.Name] = exclusion{until: time.Now().Add(leavingExclusion)}
		p.retire(x)
	}
	p.share()
	signal(p.changed)
}

// lost excludes the relay of a session that failed.
func (p *Pool) lost(x *session, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[x.vm.Name] != x || p.ctx.Err() != nil {
		return
	}
	now := time.Now()
	e := p.excluded[x.vm.Name]
	e.duration = min(max(minExclusion, 2*e.duration), maxExclusion)
	if now.Sub(e.until) > maxExclusion {
		e.duration = minExclusion
	}
	e.until = now.Add(e.duration)
	p.excluded[x.vm.Name] = e
	delete(p.sessions, x.vm.Name)
	p.config.Log.Warn("[relay] relay lost", zap.String("vm", x.vm.Name), zap.Duration("excluded", e.duration), zap.Error(err))
	p.share()
	signal(p.changed)
}

// WaitReady waits until the relays for the present number of runners have replied, at most for a time:
// to open connections to all runners would take the scheduler's VM longer.
func (p *Pool) WaitReady(limit time.Duration) {
	ctx, cancel := context.WithTimeout(p.ctx, limit)
	defer cancel()
	for p.update(time.Now()); !p.complete() && wait.For(ctx, minGather); {
	}
}

// complete reports whether each selected relay has sent its first reply.
func (p *Pool) complete() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.active) >= len(p.selected)
}

// Gather returns the longest time for which a call that something waits for, or its answer, waits for a
// batch; 0 without relays.
func (p *Pool) Gather() time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if len(p.active) == 0 {
		return 0
	}
	return time.Duration(p.gather.Load())
}

// Names returns the relays that are in use, for logs.
func (p *Pool) Names() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	names := make([]string, len(p.active))
	for i, x := range p.active {
		names[i] = x.vm.Name
	}
	return names
}
