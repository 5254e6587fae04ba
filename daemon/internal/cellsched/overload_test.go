package cellsched

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/standin/cellrunner"
	"rhubarbstall.example/standin/cellstore"
	"rhubarbstall.example/standin/memnet"
)

const (
	loadAdvisor = "advisor:80"
	// contactTimeout is how long after a disturbance promises with a time bound do not hold.
	contactTimeout = 4 * time.Second
	// callerDeadline is how long a caller tries to hand a job in.
	callerDeadline = 3 * time.Second
)

// loadKind is one kind of jobs; perRunner is its number of jobs a second for each runner.
type loadKind struct {
	queue         cell.Queue
	perRunner     float64
	steps, tasks  float64
	maxTasks      int
	work          time.Duration
	size          model.Resources
	gangs         float64
	estimateError float64
	approved      float64
}

// loadKinds fill about nine tenths of the runners' cores together.
func loadKinds() []*loadKind {
	advice := func(base, perRunner time.Duration) *cell.AdvicePolicy {
		return &cell.AdvicePolicy{Base: base, PerRunner: perRunner, Validity: 1500 * time.Millisecond}
	}
	queue := func(name string, priority int, target time.Duration, a *cell.AdvicePolicy) cell.Queue {
		return cell.Queue{Name: name, Pool: simPool, Priority: priority, MaxAttempts: simAttempts, SlackFactor: 1.5, TargetLatency: target, Advice: a}
	}
	return []*loadKind{
		{
			queue: queue("preview", 0, 250*time.Millisecond, advice(12*time.Millisecond, 170*time.Microsecond)), perRunner: 110.0 / 350,
			steps: 1, tasks: 3.2, maxTasks: 12, work: 800 * time.Millisecond,
			size: model.Resources{MilliCPU: 5000, MemoryMB: 9100}, gangs: 0.3, estimateError: 0.5, approved: 0.7,
		},
		{
			queue: queue("variant", 2, 3*time.Second, advice(170*time.Millisecond, 2300*time.Microsecond)), perRunner: 7.87 / 350,
			steps: 1.5, tasks: 25, maxTasks: 80, work: 3400 * time.Millisecond,
			size: model.Resources{MilliCPU: 3500, MemoryMB: 6400}, estimateError: 0.2, approved: 0.45,
		},
		{
			queue: queue("render", 1, time.Second, advice(700*time.Millisecond, 10*time.Millisecond)), perRunner: 3.81 / 350,
			steps: 1.2, tasks: 20, maxTasks: 40, work: 6200 * time.Millisecond,
			size: model.Resources{MilliCPU: 9000, MemoryMB: 13000}, gangs: 1, estimateError: 0.5, approved: 0.3,
		},
	}
}

// processor serves the calls of one VM in turn, one each gap.
type processor struct {
	gap  time.Duration
	mu   sync.Mutex
	next time.Time
	used int
}

// take waits until the processor has served one call.
func (p *processor) take() {
	p.mu.Lock()
	p.used++
	p.mu.Unlock()
	p.work(p.gap)
}

// served returns the number of calls since it was last asked.
func (p *processor) served() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.used
	p.used = 0
	return n
}

// work waits until the processor has done work of a length, after all that came before.
func (p *processor) work(d time.Duration) {
	p.mu.Lock()
	end := time.Now()
	if p.next.After(end) {
		end = p.next
	}
	end = end.Add(d)
	p.next = end
	p.mu.Unlock()
	time.Sleep(time.Until(end))
}

// dialer returns a dial function whose connections take the processor for each call.
func (p *processor) dialer(dial platform.Dial) platform.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: c, p: p}, nil
	}
}

type slowConn struct {
	net.Conn
	p *processor
}

func (c *slowConn) Write(b []byte) (int, error) {
	c.p.take()
	return c.Conn.Write(b)
}

// loadSize is the size of a deployment under load.
type loadSize struct {
	runners, vms int
	// calls is how many calls a second the processor of a VM serves.
	calls int
}

// loadSim is a cell under load on a network in memory and a virtual clock. Its VMs have
// processors that serve a limited number of calls a second.
type loadSim struct {
	t       *testing.T
	size    loadSize
	net     *memnet.Network
	store   *cellstore.Store
	fleet   *cellrunner.Fleet
	began   time.Time
	hosts   []*http.Server
	kinds   []*loadKind
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	factor []float64
	vms    []*loadVM
	next   int
	jobs   map[string]*loadJob
	// troubles holds when disturbances began and ended; an open one has no end.
	troubles []loadTrouble
	seconds  []loadSecond
}

type loadTrouble struct{ begin, end time.Time }

type loadVM struct {
	name      string
	holder    *Holder
	store     *platform.Store
	processor *processor
	stop      context.CancelFunc
	done      chan struct{}
	killed    bool
}

type loadJob struct {
	kind     *loadKind
	counts   []int
	work     []time.Duration
	gang     bool
	accepted bool
	sent     time.Time
	expected time.Duration
	state    cell.JobState
	ended    time.Time
}

// loadSecond is what happened in one second.
type loadSecond struct {
	submitted, accepted, ended, inTime, calls, open int
	logs                                            map[string]int
}

func newLoadSim(t *testing.T, seed uint64, size loadSize) *loadSim {
	s := &loadSim{
		t: t, size: size, net: memnet.New(), store: cellstore.New(seed), began: time.Now(), kinds: loadKinds(),
		random: rand.New(rand.NewPCG(seed, 5)), factor: []float64{1, 1, 1}, jobs: make(map[string]*loadJob),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.fleet = cellrunner.NewFleet(seed, cellrunner.Size{CPU: 32000, MB: 65536}, simAttempts, func(task string) (cellrunner.Size, time.Duration) {
		j, ref := s.jobOf(task)
		h := fnv.New32()
		_, _ = h.Write([]byte(task))
		work := j.work[ref.Step]
		if !j.gang {
			work = time.Duration(float64(work) * (0.85 + 0.3*float64(h.Sum32()%1000)/1000))
		}
		return cellrunner.Size{CPU: j.kind.size.MilliCPU, MB: j.kind.size.MemoryMB}, work
	})
	s.fleet.SetGangs(func(task string) int {
		if j, ref := s.jobOf(task); j.gang {
			return j.counts[ref.Step]
		}
		return 0
	})
	advisor := s.fleet.SetAdvisor(func(step string) cellrunner.Advice {
		j, _ := s.jobOf(step + ".0")
		a := j.kind.queue.Advice
		return cellrunner.Advice{Base: a.Base, PerRunner: a.PerRunner, Validity: a.Validity, Approves: func(runner string) bool {
			h := fnv.New32a()
			_, _ = h.Write([]byte(step + runner))
			return float64(h.Sum32()%1000) < j.kind.approved*1000
		}}
	})
	s.serve(simStore, s.store)
	s.serve(loadAdvisor, advisor)
	for i := range size.runners {
		r := s.fleet.Add(fmt.Sprintf("r%d", i))
		s.serve(runnerAddr(i), r)
		s.store.Put(platform.RunnerPrefix+r.ID, s.fleet.Entry(r, simPool, runnerAddr(i), "ready"))
	}
	for range size.vms {
		s.startVM()
	}
	return s
}

func (s *loadSim) serve(addr string, h http.Handler) {
	server := &http.Server{Handler: h}
	s.hosts = append(s.hosts, server)
	l := s.net.Listen(addr)
	go func() { _ = server.Serve(l) }()
}

func (s *loadSim) jobOf(task string) (*loadJob, cell.TaskRef) {
	ref, err := cell.ParseTaskRef(task)
	must.NoError(s.t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[ref.Job], ref
}

// second returns the record of the present second; s.mu is held.
func (s *loadSim) second() *loadSecond {
	n := int(time.Since(s.began) / time.Second)
	for len(s.seconds) <= n {
		s.seconds = append(s.seconds, loadSecond{logs: make(map[string]int)})
	}
	return &s.seconds[n]
}

// logger counts the messages of a VM that works.
func (s *loadSim) logger(vm *loadVM) *zap.Logger {
	config := zap.NewDevelopmentConfig()
	if os.Getenv("SIM_LOG") == "" {
		config.OutputPaths = []string{os.DevNull}
	}
	log := zap.Must(config.Build(zap.Hooks(func(e zapcore.Entry) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !vm.killed {
			s.second().logs[e.Message]++
		}
		return nil
	})))
	return log.Named(vm.name)
}

func (s *loadSim) startVM() {
	s.mu.Lock()
	s.next++
	name := "vm" + strconv.Itoa(s.next)
	ctx, stop := context.WithCancel(s.ctx)
	p := &processor{gap: time.Second / time.Duration(s.size.calls)}
	dial := p.dialer(s.net.Dialer(name))
	vm := &loadVM{name: name, holder: new(Holder), store: platform.NewStore(dial, simStore, nil), processor: p, stop: stop, done: make(chan struct{})}
	s.vms = append(s.vms, vm)
	s.mu.Unlock()
	var queues []cell.Queue
	for _, k := range s.kinds {
		queues = append(queues, k.queue)
	}
	vm.holder.SetQueues(queues)
	runners := platform.NewRunners(dial)
	advisor := platform.NewAdvisor(dial, loadAdvisor)
	log := s.logger(vm)
	elector := election.New(vm.store, name, name, 0, func(ctx context.Context, term election.Term) {
		sched, err := New(Settings{VM: name, MaxHold: 6 * time.Second, StatusKept: time.Hour, StoreWrites: loadWrites}, term, vm.store, runners, log)
		must.NoError(s.t, err)
		vm.holder.Run(ctx, sched)
	}, func() time.Duration { return time.Since(s.began) }, log)
	s.running.Go(func() {
		defer close(vm.done)
		elector.Run(ctx)
		vm.store.Close()
		runners.Close()
	})
	s.running.Go(func() {
		s.ask(ctx, vm, advisor)
		advisor.Close()
	})
}

// ask makes calls to the advisor for the scheduler, as each VM does.
func (s *loadSim) ask(ctx context.Context, vm *loadVM, advisor *platform.Advisor) {
	for ctx.Err() == nil {
		leader, sched := s.leader()
		if leader == nil {
			sleep(ctx, askPause)
			continue
		}
		leader.processor.take()
		callCtx, cancel := context.WithTimeout(ctx, adviceWait)
		task, ok := sched.NextAdvice(callCtx, vm.name)
		cancel()
		if !ok {
			continue
		}
		begin := time.Now()
		callCtx, cancel = context.WithTimeout(ctx, time.Duration(task.ExpectedMS)*time.Millisecond+adviceSlack)
		approved, err := advisor.Ask(callCtx, task.Step, task.Runners)
		cancel()
		answer := AdviceAnswer{ID: task.ID, Approved: approved, TookMS: time.Since(begin).Milliseconds()}
		if err != nil {
			answer.Error = err.Error()
		}
		leader.processor.take()
		sched.Advised(answer)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// leader returns the VM of the latest term that schedules, or nil.
func (s *loadSim) leader() (*loadVM, *Scheduler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var leader *loadVM
	var sched *Scheduler
	for _, vm := range s.vms {
		if x := vm.holder.Current(); x != nil && (sched == nil || x.term.Number > sched.term.Number) {
			leader, sched = vm, x
		}
	}
	return leader, sched
}

// kill ends a VM, from which nothing arrives any more, and starts another.
func (s *loadSim) kill(vm *loadVM) {
	s.mu.Lock()
	vm.killed = true
	s.vms = slices.DeleteFunc(s.vms, func(x *loadVM) bool { return x == vm })
	s.mu.Unlock()
	s.net.Cut(vm.name, simStore)
	s.net.Cut(vm.name, loadAdvisor)
	for i := range s.size.runners {
		s.net.Cut(vm.name, runnerAddr(i))
	}
	vm.stop()
	s.startVM()
}

// trouble notes a disturbance and returns what ends it.
func (s *loadSim) trouble() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles = append(s.troubles, loadTrouble{begin: time.Now()})
	n := len(s.troubles) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.troubles[n].end = time.Now()
	}
}

// calm reports whether no disturbance was near; s.mu is held.
func (s *loadSim) calm(at time.Time) bool {
	for _, x := range s.troubles {
		if at.After(x.begin) && (x.end.IsZero() || at.Before(x.end.Add(contactTimeout))) {
			return false
		}
	}
	return true
}

// sample returns a value of a distribution with a long tail; s.mu is held.
func (s *loadSim) sample(mean, spread float64) float64 {
	s2 := math.Log(1 + spread*spread)
	return math.Exp(math.Log(mean) - s2/2 + math.Sqrt(s2)*s.random.NormFloat64())
}

// draw returns a random job of a kind in the form in which callers send it.
func (s *loadSim) draw(k *loadKind) (string, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := &loadJob{kind: k, gang: s.random.Float64() < k.gangs, sent: time.Now()}
	n := int(k.steps)
	if s.random.Float64() < k.steps-float64(n) {
		n++
	}
	var steps []map[string]any
	var chain time.Duration
	for i := range n {
		// A gang is to fit onto half of the runners that may run it.
		widest := min(k.maxTasks, int(k.approved*float64(s.size.runners))/2*3)
		count := min(max(1, int(math.Round(s.sample(k.tasks, 0.8)))), widest)
		work := min(time.Duration(s.sample(float64(k.work), 0.5)), 5*k.work/2)
		step := map[string]any{
			"count": count, "cpu": k.size.MilliCPU, "requested_memory_mb": k.size.MemoryMB, "gang_scheduled": j.gang,
			"estimated_ms": max(1, int64(float64(work.Milliseconds())*s.sample(1, k.estimateError))),
		}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
		j.counts, j.work = append(j.counts, count), append(j.work, work)
		chain += work + k.queue.Advice.CallTime(30)
	}
	j.expected = k.queue.TargetLatency + time.Duration(k.queue.SlackFactor*float64(chain))
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	s.jobs[id] = j
	s.second().submitted++
	body, err := json.Marshal(map[string]any{"specification": "x", "steps": steps})
	must.NoError(s.t, err)
	value, err := EncodeJob(JobHeader{Queue: k.queue.Name, Pool: simPool, AcceptedMS: time.Now().UnixMilli()}, body)
	must.NoError(s.t, err)
	return id, value
}

// submit hands a job in as a caller does, who tries other VMs until his deadline.
func (s *loadSim) submit(k *loadKind) {
	id, value := s.draw(k)
	ctx, cancel := context.WithTimeout(s.ctx, callerDeadline)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		vm := s.vms[s.random.IntN(len(s.vms))]
		s.mu.Unlock()
		callCtx, cancelCall := context.WithTimeout(ctx, callTime)
		outcome, _ := Put(callCtx, vm.store, Submission{ID: id, Value: value})
		cancelCall()
		if outcome == PutDone {
			s.mu.Lock()
			s.jobs[id].accepted = true
			s.second().accepted++
			s.mu.Unlock()
			if leader, sched := s.leader(); leader != nil {
				leader.processor.take()
				// A job that is not taken up here is found in the store.
				_ = sched.Submit(Submission{ID: id, Value: value})
			}
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

const loadTick = 20 * time.Millisecond

// play lets jobs come for a time.
func (s *loadSim) play(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(loadTick) {
		for i, k := range s.kinds {
			s.mu.Lock()
			rate := k.perRunner * float64(s.size.runners) * s.factor[i] * loadTick.Seconds()
			n := 0
			for p := s.random.Float64(); rate > 0 && p > math.Exp(-rate); p *= s.random.Float64() {
				n++
			}
			s.mu.Unlock()
			for range n {
				s.running.Go(func() { s.submit(k) })
			}
		}
	}
}

// watch notes when the jobs end, as the store tells it.
func (s *loadSim) watch() {
	for ; s.ctx.Err() == nil; sleep(s.ctx, 100*time.Millisecond) {
		s.mu.Lock()
		open, now := 0, time.Now()
		for id, j := range s.jobs {
			if !j.accepted || !j.ended.IsZero() {
				continue
			}
			open++
			value := s.store.Value(StateKey(id))
			if value == nil {
				continue
			}
			state, err := cell.ParseSavedJob(value)
			must.NoError(s.t, err)
			if state.State.Final() {
				j.ended, j.state = now, state.State
				s.second().ended++
				if now.Sub(j.sent) <= j.expected {
					s.second().inTime++
				}
			}
		}
		s.second().open = open
		calls := 0
		for _, vm := range s.vms {
			calls = max(calls, vm.processor.served())
		}
		s.second().calls += calls
		s.mu.Unlock()
	}
}

func (s *loadSim) setFactor(kind int, f float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor[kind] = f
}

// finish ends the load and waits until every accepted job has ended.
func (s *loadSim) finish(limit time.Duration) {
	for i := range s.kinds {
		s.setFactor(i, 0)
	}
	time.Sleep(2 * callerDeadline)
	for end := time.Now().Add(limit); s.open() > 0 && time.Now().Before(end); {
		time.Sleep(time.Second)
	}
}

func (s *loadSim) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range s.jobs {
		if j.accepted && j.ended.IsZero() {
			n++
		}
	}
	return n
}

func (s *loadSim) close() {
	s.stop()
	s.running.Wait()
	for _, h := range s.hosts {
		_ = h.Close()
	}
	// Calls that the stand-ins are still answering, and timers of advice.
	time.Sleep(10 * time.Second)
}

func (s *loadSim) report() {
	if os.Getenv("SIM_LOG") == "" && !s.t.Failed() {
		return
	}
	for i, x := range s.seconds {
		var logs []string
		for _, m := range []string{
			"[sched] run started", "[sched] run not started", "[sched] run stopped", "[sched] stop not answered", "[sched] run lost", "[sched] runner lost",
			"[sched] runner regained", "[sched] runner suspect", "[sched] states not stored", "[election] term begins", "[sched] advice",
		} {
			if n := x.logs[m]; n > 0 {
				logs = append(logs, fmt.Sprintf("%s %d", strings.TrimPrefix(m, "[sched] "), n))
			}
		}
		s.t.Logf("%3d s: submitted %3d, accepted %3d, ended %3d, in time %3d, open %4d, calls %4d; %s", i, x.submitted, x.accepted, x.ended, x.inTime, x.open, x.calls, strings.Join(logs, ", "))
	}
}

// inTime counts the jobs that ended in their expected time since a moment.
func (s *loadSim) inTime(since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range s.jobs {
		if j.ended.After(since) && j.ended.Sub(j.sent) <= j.expected {
			n++
		}
	}
	return n
}

// living returns the VMs that have not been killed.
func (s *loadSim) living() []*loadVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms)
}
