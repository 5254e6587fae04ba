package play

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/standin/cellrunner"
	"rhubarbstall.example/standin/cellstore"
	"rhubarbstall.example/standin/relay"
)

const (
	pool = "pool"
	// holderKey is the record of the VM that holds the scheduler's role.
	holderKey = "lead/holder"
	host      = "jobs.example"
	// plainQueue needs no advisor, advisedQueue does unless its route was added again without one.
	plainQueue, advisedQueue = "first", "second"
	// rareKind and gpuKind are the labels of a few runners, which some steps require.
	plainKind, rareKind, gpuKind = "a", "b", "g"

	maxAttempts = 3
	rackCount   = 2
)

// runnerKinds are the kinds of the first runners; the others are of plainKind. The first lasting runners stay
// as they are, so that each step has a runner that can hold it.
var runnerKinds = []string{rareKind, gpuKind, rareKind, gpuKind}

const lastingRunners = 2

// runnerSizes are what runners of each kind hold; smallSize is what some runners hold after a crash.
var (
	runnerSizes = map[string]cellrunner.Size{
		plainKind: {MilliCPU: 8000, MemoryMB: 8000}, rareKind: {MilliCPU: 8000, MemoryMB: 8000}, gpuKind: {MilliCPU: 8000, MemoryMB: 8000, GPUs: 2},
	}
	smallSize = cellrunner.Size{MilliCPU: 3000, MemoryMB: 3000}
)

func rackOf(n int) string { return fmt.Sprintf("rack%d", n%rackCount) }

// runner is a stand-in of a runner with its link.
type runner struct {
	*cellrunner.Runner
	link *relay.Link
}

// world holds the deployment of a run.
type world struct {
	options Options
	store   *cellstore.Store
	fleet   *cellrunner.Fleet
	jobs    *jobTable
	checker *checker
	runners []*runner
	vms     []*vm
	servers []*http.Server
	// storeAddr is the address of the store behind the links of the VMs.
	storeAddr, advisorAddr string
	// peers holds, by the address of a peer port, that of the link that leads there; guarded by mu.
	peers map[string]string

	mu sync.Mutex
	// version is that of the operator's configuration; advised tells whether advisedQueue needs tickets.
	version int
	advised bool
	// routed and withAdvice tell whether the configuration has the route of advisedQueue, and with a recommendation.
	routed, withAdvice bool
	// keys holds the API keys; they are in the configuration of a run with accounts.
	keys *keyring
	// log holds the lines of the report; spans the faults that were played.
	log   []string
	spans []span
	// terms holds when which VM took the scheduler's role.
	terms   []term
	beganAt time.Time
}

// newWorld starts a deployment with its VMs and waits until they are ready. It returns what was started also
// with an error.
func newWorld(o Options) (*world, error) {
	w, err := newDeployment(o)
	if err != nil {
		return w, err
	}
	for i := range o.VMs {
		v, err := newVM(o.Dir, o.Program, fmt.Sprintf("vm%d", i+1), o.settings(), w.storeAddr, w.advisorAddr, w.learnPeer)
		if err != nil {
			return w, err
		}
		w.vms = append(w.vms, v)
	}
	return w, w.awaitReady(15 * time.Second)
}

// newDeployment starts the store and the runners.
func newDeployment(o Options) (*world, error) {
	w := &world{options: o, store: cellstore.New(o.Seed), jobs: newJobTable(), beganAt: time.Now(), peers: make(map[string]string), keys: newKeyring()}
	w.checker = newChecker(w.jobs, w.disturbed)
	w.fleet = cellrunner.NewFleet(o.Seed, runnerSizes[plainKind], maxAttempts, w.jobs.taskSize)
	w.fleet.SetTraits(w.jobs.taskTraits)
	w.fleet.SetGangSize(w.jobs.gangSize)
	w.fleet.SetObserver(w.checker.observe)
	w.store.SetRewrite(w.rewrite)
	var err error
	if w.storeAddr, err = w.serve(w.store); err != nil {
		return w, err
	}
	for i := range o.Runners {
		r := &runner{Runner: w.fleet.Add(fmt.Sprintf("i-%d", i))}
		r.Rack, r.Kind = rackOf(i), plainKind
		if i < len(runnerKinds) {
			r.Kind = runnerKinds[i]
		}
		r.Size = runnerSizes[r.Kind]
		addr, err := w.serve(r.Runner)
		if err != nil {
			return w, err
		}
		if r.link, err = relay.Open("127.0.0.1:0", addr); err != nil {
			return w, err
		}
		w.runners = append(w.runners, r)
		w.register(r)
	}
	w.configure(true, true)
	w.advisorAddr, err = w.serve(w.fleet.SetAdvisor(w.advice))
	return w, err
}

const (
	adviceBase      = 60 * time.Millisecond
	advicePerRunner = 5 * time.Millisecond
	adviceValidity  = 2 * time.Second
)

// advice returns how the advisor answers about a step, which begins with the id of its job. It approves the
// runners that stay as they are, since each step needs a runner that may run it, and two of three others.
func (w *world) advice(step string) cellrunner.Advice {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := cellrunner.Advice{BaseTime: adviceBase, TimePerRunner: advicePerRunner, Validity: adviceValidity}
	if id, _, _ := strings.Cut(step, "."); w.advised && queueOf(id) == advisedQueue {
		a.Approves = func(runner string) bool {
			for _, r := range w.runners[:lastingRunners] {
				if r.ID == runner {
					return true
				}
			}
			h := fnv.New32()
			_, _ = h.Write([]byte(step + runner))
			return h.Sum32()%3 != 0
		}
	}
	return a
}

// queueOf returns the queue to which clients send a job.
func queueOf(id string) string {
	if strings.ContainsRune("02468ace", rune(id[len(id)-1])) {
		return plainQueue
	}
	return advisedQueue
}

// serve serves a handler on a free port of the loopback address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// learnPeer tells that other VMs reach the peer port at an address through a link.
func (w *world) learnPeer(addr, through string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers[addr] = through
}

// rewrite lets the record of the scheduler lead to its link, since VMs listen at the address that they give.
func (w *world) rewrite(key string, value []byte) []byte {
	if key != holderKey {
		return value
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordTerm(value)
	for addr, through := range w.peers {
		value = bytes.Replace(value, []byte(`"`+addr+`"`), []byte(`"`+through+`"`), 1)
	}
	return value
}

// vm returns a VM by a number of any size.
func (w *world) vm(n int) *vm { return w.vms[n%len(w.vms)] }

// skips reports whether the run leaves out the job with a number.
func (w *world) skips(job int) bool { return slices.Contains(w.options.SkipJobs, job) }

// awaitReady waits until all VMs are ready.
func (w *world) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, v := range w.vms {
		for {
			resp, err := client.Get("http://" + v.ready + platform.ReadyPath)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready within %v", v.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// leader returns the VM that holds the scheduler's role by the record in the store, or any.
func (w *world) leader(pick int) *vm {
	holder := string(w.store.Value(holderKey))
	for _, v := range w.vms {
		if strings.Contains(holder, `"`+v.name+`"`) {
			return v
		}
	}
	return w.vms[pick%len(w.vms)]
}

// logf adds a line with the time since the run began to the report.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, fmt.Sprintf("%7.3f ", time.Since(w.beganAt).Seconds())+fmt.Sprintf(format, args...))
}

// lines returns the report so far.
func (w *world) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.log...)
}

// close ends all processes and servers.
func (w *world) close() {
	var stops sync.WaitGroup
	for _, v := range w.vms {
		stops.Go(func() { v.stop(syscall.SIGKILL) })
	}
	stops.Wait()
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, r := range w.runners {
		r.link.Close()
	}
	for _, v := range w.vms {
		v.closeLinks()
	}
}
