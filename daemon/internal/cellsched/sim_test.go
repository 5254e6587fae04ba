package cellsched

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
	_ "rhubarbstall.example/standin/bubblerace"
	"rhubarbstall.example/standin/cellrunner"
	"rhubarbstall.example/standin/cellstore"
	"rhubarbstall.example/standin/memnet"
)

const (
	simVMs         = 3
	simRunners     = 6
	simPool        = "pool"
	simTasksPerJob = 4
	simStore       = "store:80"
	simJobs        = 60
	// maxSimVMs is more VMs than a run starts, with those that take the place of lost ones.
	maxSimVMs = 32
	// simSettleTime is how long after the last job and the last fault all jobs must have finished.
	simSettleTime = 2 * time.Minute
	// simAttempts is the queue's maximum number of attempts; the fleet checks that no task
	// starts more often.
	simAttempts = 3
)

// sim simulates a cell with an in-memory network and a virtual clock. The cell has a store,
// runners, and entry VMs that are killed, partitioned and replaced.
type sim struct {
	t         *testing.T
	net       *memnet.Network
	store     *cellstore.Store
	fleet     *cellrunner.Fleet
	random    *rand.Rand
	startedAt time.Time
	log       *zap.Logger
	// servers holds the server of the store, followed by those of the runners.
	servers []*http.Server
	runners []*cellrunner.Runner
	// removedRunner is the runner that was removed last, removedRunners their number.
	removedRunner  *cellrunner.Runner
	removedRunners int
	vms            map[string]*simVM
	// accepted holds the jobs that the store confirmed.
	accepted map[string]bool
	vmCount  int
	// faultKinds are the cases of startFault from which faults are chosen; all if empty.
	faultKinds []int
	// accountOf returns the client account of a job, and configured is what the VMs know of the accounts; nil if there are none.
	accountOf  func(job string) string
	configured []cell.ClientAccount
	// panics counts the panics that schedulers recovered from.
	panics atomic.Int64
}

type simVM struct {
	name  string
	local *LocalScheduler
	store *platform.Store
	stop  context.CancelFunc
	done  chan struct{}
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{
		startedAt: time.Now(),
		t:         t, net: memnet.New(), store: cellstore.New(seed), random: rand.New(rand.NewPCG(seed, 3)),
		vms: make(map[string]*simVM), accepted: make(map[string]bool),
	}
	s.log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.ErrorLevel))
	if os.Getenv("SIM_LOG") != "" {
		s.log = zap.Must(zap.NewDevelopment())
	}
	s.log = s.log.WithOptions(zap.Hooks(func(e zapcore.Entry) error {
		if strings.HasPrefix(e.Message, panicMessage) {
			s.panics.Add(1)
		}
		return nil
	}))
	s.fleet = cellrunner.NewFleet(seed, cellrunner.Size{MilliCPU: 4000, MemoryMB: 4000}, simAttempts, func(name string) (cellrunner.Size, time.Duration) {
		h := fnv.New32()
		_, _ = h.Write([]byte(name))
		return cellrunner.Size{MilliCPU: 1000, MemoryMB: 100}, time.Duration(200+h.Sum32()%1500) * time.Millisecond
	})
	s.serve(simStore, s.store)
	for i := range simRunners {
		id := fmt.Sprintf("r%d", i)
		r := s.fleet.Add(id)
		s.runners = append(s.runners, r)
		s.serve(runnerAddr(i), r)
		s.store.Put(platform.RunnerPrefix+id, s.fleet.RunnerRecord(r, simPool, runnerAddr(i), "ready"))
	}
	return s
}

func runnerAddr(i int) string { return fmt.Sprintf("r%d:80", i) }

func (s *sim) serve(addr string, h http.Handler) {
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	l := s.net.Listen(addr)
	go func() { _ = server.Serve(l) }()
}

func (s *sim) startVM() {
	s.vmCount++
	name := "vm" + strconv.Itoa(s.vmCount)
	store := platform.NewStore(s.net.Dialer(name), simStore, nil)
	runners := platform.NewRunners(s.net.Dialer(name))
	ctx, stop := context.WithCancel(context.Background())
	vm := &simVM{name: name, local: new(LocalScheduler), store: store, stop: stop, done: make(chan struct{})}
	vm.local.Configure(1, []cell.Queue{{Name: "q", Pool: simPool, MaxAttempts: simAttempts, SlackFactor: 2}}, s.configured)
	elector := election.New(store, name, name, 0, func(ctx context.Context, term election.Term) {
		set := Settings{VM: name, MaxLease: 6 * time.Second, JobRetention: time.Hour, StoreWritesPerSecond: 400}
		sched, err := New(set, term, store, runners, s.log.Named(name))
		must.NoError(s.t, err)
		vm.local.Run(ctx, sched)
	}, func() time.Duration { return time.Since(s.startedAt) }, s.log.Named(name))
	go func() {
		defer close(vm.done)
		elector.Run(ctx)
		store.Close()
		runners.Close()
	}()
	s.vms[name] = vm
}

// kill cuts a VM off, so that nothing it sends arrives, stops it, and starts another VM.
func (s *sim) kill(vm *simVM) {
	s.fleet.CallerLost(startsRecordDelay + 2*startsRecordInterval)
	s.setPartitioned(vm, true)
	vm.stop()
	delete(s.vms, vm.name)
	s.startVM()
}

func (s *sim) setPartitioned(vm *simVM, partitioned bool) {
	s.setPartitionedFrom(vm, partitioned, simStore)
	for i := range simRunners {
		s.setPartitionedFrom(vm, partitioned, runnerAddr(i))
	}
}

func (s *sim) setPartitionedFrom(vm *simVM, partitioned bool, addr string) {
	if partitioned {
		s.net.Cut(vm.name, addr)
	} else {
		s.net.Heal(vm.name, addr)
	}
}

// randomVM returns a random VM, which the seed determines.
func (s *sim) randomVM() *simVM {
	n := s.random.IntN(len(s.vms))
	for i := s.vmCount; ; i-- {
		if vm := s.vms["vm"+strconv.Itoa(i)]; vm != nil {
			if n == 0 {
				return vm
			}
			n--
		}
	}
}

func (s *sim) leader() *simVM {
	for _, vm := range s.vms {
		if vm.local.Current() != nil {
			return vm
		}
	}
	return nil
}

// jobBody returns the body of a job with two steps.
func (s *sim) jobBody() []byte {
	body, err := json.Marshal(map[string]any{"specification": "x", "steps": []map[string]any{
		{"count": simTasksPerJob - 1, "cpu": 1000, "requested_memory_mb": 100, "estimated_ms": 900},
		{"count": 1, "cpu": 1000, "requested_memory_mb": 100, "estimated_ms": 900, "after": []int{0}},
	}})
	must.NoError(s.t, err)
	return body
}

// submit stores a job with two steps through a VM. The job counts as accepted if the store
// confirmed it.
func (s *sim) submit(n int) {
	id := fmt.Sprintf("%016x", n)
	header := JobHeader{Queue: "q", Pool: simPool}
	if s.accountOf != nil {
		header.ClientAccount = s.accountOf(id)
	}
	value, err := EncodeJob(header, s.jobBody())
	must.NoError(s.t, err)
	vm := s.randomVM()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if outcome, _ := PutJob(ctx, vm.store, Submission{ID: id, Value: value}); outcome == PutStored {
		s.accepted[id] = true
		// Several VMs may consider themselves the scheduler, and each of them gets the job.
		for _, l := range s.liveVMs() {
			if sched := l.local.Current(); sched != nil {
				if err := sched.Submit(Submission{ID: id, Value: value}); err != nil {
					s.log.Info("[sim] job not passed to the scheduler; its watch will find it", zap.Error(err))
				}
			}
		}
	}
}

func (s *sim) liveVMs() []*simVM {
	var out []*simVM
	for i := range s.vmCount {
		if vm := s.vms["vm"+strconv.Itoa(i+1)]; vm != nil {
			out = append(out, vm)
		}
	}
	return out
}

// run submits jobs while faults start and end, and then checks that all accepted jobs finish.
func (s *sim) run() {
	defer s.close()
	for range simVMs {
		s.startVM()
	}
	time.Sleep(time.Second)
	var ends []func()
	for i := range simJobs {
		s.submit(i + 1)
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
		if s.random.IntN(6) == 0 {
			ends = append(ends, s.startFault())
		}
		if len(ends) > 0 && s.random.IntN(4) == 0 {
			ends[0]()
			ends = ends[1:]
		}
	}
	for _, end := range ends {
		end()
	}
	time.Sleep(simSettleTime)
	// The store may be down for most of the time, but a run that accepts hardly any jobs
	// proves nothing.
	must.Greater(s.t, simJobs/10, len(s.accepted))
	for id := range s.accepted {
		must.SliceNotEmpty(s.t, s.store.Value(StateKey(id)), must.Sprintf("job %s has no state", id))
		state, err := cell.ParseSavedJob(s.store.Value(StateKey(id)))
		must.NoError(s.t, err)
		must.True(s.t, state.State.Final(), must.Sprintf("job %s is %s", id, state.State))
		if state.State == cell.Completed {
			must.Eq(s.t, simTasksPerJob, s.fleet.SucceededTasks(id), must.Sprintf("tasks of job %s", id))
		}
	}
	must.Eq(s.t, "", strings.Join(s.fleet.Violations(), "; "), must.Sprint("late calls: ", strings.Join(s.fleet.LateCalls(), "; ")))
	must.Eq(s.t, 0, s.panics.Load(), must.Sprint("a scheduler panicked"))
}

func (s *sim) close() {
	var wait sync.WaitGroup
	for _, vm := range s.liveVMs() {
		vm.stop()
		wait.Go(func() { <-vm.done })
	}
	wait.Wait()
	for _, h := range s.servers {
		_ = h.Close()
	}
}
