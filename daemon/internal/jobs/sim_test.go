package jobs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/dispatch"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/sched/engine"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/settings"
	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/worker"
	pwire "rhubarbstall.example/wire/platform"
	wire "rhubarbstall.example/wire/worker"
)

const simZone = "regina"

// sim is a zone of entry VMs and workers in one process under a virtual clock.
type sim struct {
	t     testing.TB
	ctx   context.Context
	store *fakeStore
	hist  *history.Writer
	// histPath is the file of hist.
	histPath string

	mu      sync.Mutex
	rng     *rand.Rand
	workers map[string]*simWorker
	order   []string
	nodes   []*simNode
	doc     *settings.Document
	loss    float64
	dup     float64
	late    float64
	calls   map[string]int
	// flying counts the messages that are still on their way.
	flying sync.WaitGroup
}

type simWorker struct {
	*worker.Worker
	id     string
	starts int
	gone   bool
	// resume is open while the worker is paused.
	resume chan struct{}
}

// simNode is one entry VM.
type simNode struct {
	sim    *sim
	id     string
	svc    *Service
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	dead   bool
	resume chan struct{}
	cut    map[string]bool
}

func newSim(t testing.TB, ctx context.Context, seed uint64, workers, nodes int) *sim {
	s := &sim{
		t: t, ctx: ctx, store: newFakeStore(seed), rng: rand.New(rand.NewPCG(seed, 2)),
		workers: map[string]*simWorker{}, calls: map[string]int{},
		doc: &settings.Document{Zones: []string{simZone}, Limits: settings.Limits{TaskLeaseMillis: 10_000}},
	}
	if tt, ok := t.(*testing.T); ok {
		s.histPath = filepath.Join(tt.TempDir(), "history.jsonl")
		w, err := history.Open(s.histPath, "sim", "1")
		if err != nil {
			t.Fatal(err)
		}
		s.hist = w
	}
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%03d", i))
	}
	for i := range nodes {
		n := &simNode{sim: s, id: fmt.Sprintf("e%d", i)}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func (s *sim) addWorker(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	if w == nil {
		w = &simWorker{id: id}
		s.workers[id] = w
		s.order = append(s.order, id)
	}
	w.starts++
	w.Worker = worker.New(worker.Options{
		ID: id, AvailabilityZone: simZone, Rack: "r" + id[len(id)-1:], Instance: fmt.Sprintf("%s-%d", id, w.starts),
		Capacity: wire.Size{MilliCPU: 8000, MemoryMB: 16_000}, History: s.hist,
	})
}

func (s *sim) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *sim) random(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d)))
}

// VMs implements vmlist.Source.
func (s *sim) VMs() ([]pwire.VM, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []pwire.VM
	for _, id := range s.order {
		if !s.workers[id].gone {
			list = append(list, pwire.VM{ID: id, Role: pwire.RoleWorker, AvailabilityZone: simZone, Addr: id, State: pwire.VMLive})
		}
	}
	return list, time.Now()
}

// Current implements settingsync.Provider.
func (s *sim) Current() (*settings.Document, uint64, bool) { return s.doc, 1, true }

// simLogger logs to the standard output if SIM_LOG is set.
func simLogger(id string) *zap.Logger {
	if os.Getenv("SIM_LOG") == "" {
		return zap.NewNop()
	}
	log, err := zap.NewDevelopment()
	if err != nil {
		return zap.NewNop()
	}
	return log.Named(id)
}

type simPolicies struct{}

func (simPolicies) Policy(_, kind string) (model.Policy, bool) {
	return model.Policy{Urgency: 50, Patience: time.Minute, MaxAttempts: 3, Backoff: 100 * time.Millisecond}, kind != "none"
}

func (simPolicies) Departments() []model.Department {
	return []model.Department{{Path: settings.RootPath, Weight: 1}}
}

func (n *simNode) start() {
	n.mu.Lock()
	n.dead, n.cut, n.resume = false, map[string]bool{}, nil
	n.mu.Unlock()
	svc := New(Config{
		SelfID: n.id, Zone: simZone, View: n, VMs: n.sim, Settings: n.sim, Store: nodeStore{n.sim.store, n},
		NewEngine: func() model.Engine { return engine.New() }, Transport: n,
		Policies: func(*settings.Document) model.Policies { return simPolicies{} }, Logger: simLogger(n.id),
	})
	ctx, cancel := context.WithCancel(n.sim.ctx)
	n.mu.Lock()
	n.svc, n.cancel, n.done = svc, cancel, make(chan struct{})
	done := n.done
	n.mu.Unlock()
	go func() {
		defer close(done)
		_ = svc.Run(ctx)
	}()
}

// kill ends a node without a goodbye.
func (n *simNode) kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.unpause()
	n.cancel()
	<-n.done
}

func (n *simNode) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resume == nil {
		n.resume = make(chan struct{})
	}
}

func (n *simNode) unpause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resume != nil {
		close(n.resume)
		n.resume = nil
	}
}

func (n *simNode) setCut(peer string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[peer] = cut
}

func (n *simNode) cutFrom(peer string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[peer]
}

// gate holds what a paused node sends, and refuses what a dead one does. It
// ignores the deadline while paused, as a frozen process does.
func (n *simNode) gate(context.Context) error {
	n.mu.Lock()
	ch, dead := n.resume, n.dead
	n.mu.Unlock()
	if ch != nil {
		<-ch
		n.mu.Lock()
		dead = n.dead
		n.mu.Unlock()
	}
	if dead {
		return errors.New("the node is dead")
	}
	return nil
}

func (n *simNode) reachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dead && n.resume == nil
}

// Self implements membership.View.
func (n *simNode) Self() membership.Member {
	return membership.Member{ID: n.id, Zone: simZone, State: membership.Alive}
}

// Members implements membership.View. A paused or dead node is suspect at once.
func (n *simNode) Members() []membership.Member {
	var list []membership.Member
	for _, o := range n.sim.nodes {
		m := membership.Member{ID: o.id, Zone: simZone, State: membership.Suspect}
		if o == n || o.reachable() {
			m.State = membership.Alive
			o.mu.Lock()
			svc := o.svc
			o.mu.Unlock()
			if o != n && svc != nil {
				m.Report.SchedulerEpoch = svc.SchedulerEpoch()
			}
		}
		list = append(list, m)
	}
	return list
}

// InZone implements membership.View.
func (n *simNode) InZone(string) []membership.Member { return n.Members() }

// Get implements membership.View.
func (n *simNode) Get(string) (membership.Member, bool) { return membership.Member{}, false }

// exchange carries one call to a worker with the faults of the network.
func exchange[R any](ctx context.Context, n *simNode, op, addr string, run func(*worker.Worker) (R, *wire.Refusal)) (R, error) {
	s := n.sim
	var zero R
	if n.gate(ctx) != nil {
		return zero, dispatch.ErrNotSent
	}
	s.mu.Lock()
	w := s.workers[addr]
	s.calls[op]++
	s.mu.Unlock()
	type answer struct {
		r       R
		refusal *wire.Refusal
	}
	ch := make(chan answer, 2)
	deliver := func(d time.Duration) {
		defer s.flying.Done()
		time.Sleep(d)
		s.mu.Lock()
		resume, gone := w.resume, w.gone
		s.mu.Unlock()
		if resume != nil {
			<-resume
		}
		if gone {
			return
		}
		s.mu.Lock()
		target := w.Worker
		s.mu.Unlock()
		r, refusal := run(target)
		ch <- answer{r, refusal}
	}
	d := s.random(4 * time.Millisecond)
	if s.chance(s.late) {
		d = s.random(2 * time.Second)
	}
	if !n.cutFrom(addr) && !s.chance(s.loss) {
		s.flying.Add(1)
		go deliver(d)
		if s.chance(s.dup) {
			s.flying.Add(1)
			go deliver(d + s.random(2*time.Second))
		}
	}
	select {
	case a := <-ch:
		if s.chance(s.loss) || n.gate(ctx) != nil {
			<-ctx.Done()
			return zero, dispatch.ErrNoReply
		}
		sleep(ctx, s.random(4*time.Millisecond))
		if a.refusal != nil {
			return zero, &dispatch.RefusedError{Refusal: *a.refusal}
		}
		return a.r, nil
	case <-ctx.Done():
		return zero, dispatch.ErrNoReply
	}
}

// Sync implements dispatch.Transport.
func (n *simNode) Sync(ctx context.Context, addr string, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	r, err := exchange(ctx, n, "sync", addr, func(w *worker.Worker) (wire.SyncResponse, *wire.Refusal) {
		r, refusal, err := w.Sync(*req)
		if err != nil {
			n.sim.t.Error(err)
		}
		return r, refusal
	})
	return &r, err
}

// Start implements dispatch.Transport.
func (n *simNode) Start(ctx context.Context, addr string, req *wire.StartRequest) (*wire.StartResponse, error) {
	r, err := exchange(ctx, n, "start", addr, func(w *worker.Worker) (wire.StartResponse, *wire.Refusal) { return w.Start(*req) })
	return &r, err
}

// Control implements dispatch.Transport.
func (n *simNode) Control(ctx context.Context, addr string, req *wire.ControlRequest) error {
	_, err := exchange(ctx, n, "control", addr, func(w *worker.Worker) (struct{}, *wire.Refusal) { return struct{}{}, w.Control(*req) })
	return err
}

// holder returns the node that is ready as the zone scheduler.
func (s *sim) holder() *simNode {
	for _, n := range s.nodes {
		if n.reachable() {
			if _, ok := n.svc.current(); ok {
				return n
			}
		}
	}
	return nil
}

// await waits for a condition in virtual time.
func (s *sim) await(limit time.Duration, what string, cond func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !cond(); {
		if time.Now().After(end) {
			s.t.Fatalf("timeout: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
