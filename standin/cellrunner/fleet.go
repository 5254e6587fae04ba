package cellrunner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Fleet is a set of runners. It records what they ran and which invariants were violated.
type Fleet struct {
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	// size is what a runner holds unless it has a size of its own.
	size   Size
	task   func(name string) (Size, time.Duration)
	active map[string]*run
	// acknowledged holds the tasks whose success the scheduler has acknowledged; they must
	// not start again. succeeded holds all tasks that have succeeded.
	acknowledged map[string]bool
	succeeded    map[string]bool
	// lastStart holds the time of the latest start of each task.
	lastStart   map[string]time.Time
	failures    map[string]int
	maxAttempts int
	violations  []string
	// lateCalls describes the calls that a later life of their runner executed.
	lateCalls []string
	runners   []*Runner
	// gangSize returns the number of tasks in the gang of a task; nil if there are no gangs.
	gangSize func(task string) int
	gangs    map[string]*gang
	// gangTimeouts holds the times at which a gang member stopped waiting for the others.
	gangTimeouts []time.Time
	// traits returns the traits of a task, observe gets the events; either may be nil.
	traits  func(task string) Traits
	observe func(Event)
	// advisor issues the tickets for starts; nil if starts need none.
	advisor *Advisor
	// accountOf returns the client account of a task; nil if accounts have no limit. accountLimit is the limit of each.
	accountOf    func(task string) string
	accountLimit Size
}

// NewFleet returns a fleet whose runners all have the same size. task returns the size and
// run time of a task. A start after maxAttempts failures of a task is a violation.
func NewFleet(seed uint64, size Size, maxAttempts int, task func(name string) (Size, time.Duration)) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, 2)), size: size, task: task, maxAttempts: maxAttempts,
		active: make(map[string]*run), acknowledged: make(map[string]bool), succeeded: make(map[string]bool), lastStart: make(map[string]time.Time), failures: make(map[string]int),
	}
}

// SetFaults replaces the fault rates.
func (f *Fleet) SetFaults(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// Add adds a runner to the fleet and returns it.
func (f *Fleet) Add(id string) *Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Runner{ID: id, fleet: f, startedAt: time.Now().Add(-time.Minute), runs: make(map[string]*run), highestExecution: make(map[string]int64), delayed: make(map[*delayedCall]bool)}
	f.runners = append(f.runners, r)
	return r
}

// Crash makes a runner lose its state and restart.
func (f *Fleet) Crash(r *Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(r)
}

// CrashInto makes a runner lose its state and restart as a runner of another kind and size.
func (f *Fleet) CrashInto(r *Runner, kind string, size Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(r)
	r.Kind, r.Size = kind, size
}

// Remove makes a runner lose its state and execute nothing any more.
func (f *Fleet) Remove(r *Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(r)
	r.removed = true
}

func (f *Fleet) restart(r *Runner) {
	r.noteRefusals()
	lost := r.runs
	for _, x := range lost {
		f.notify(RunEnded, r, x, ResultLost)
		delete(f.active, x.task)
	}
	r.runs, r.finished, r.lastSequence, r.fencingToken = make(map[string]*run), nil, 0, 0
	r.highestExecution, r.startedAt, r.leaseEnd = make(map[string]int64), time.Now(), time.Time{}
	for _, x := range lost {
		if x.gang != nil {
			f.breakGang(x)
		}
	}
}

// RunnerRecord returns the record that a runner writes to the store to register itself.
func (f *Fleet) RunnerRecord(r *Runner, pool, addr, state string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := r.size()
	data, err := json.Marshal(map[string]any{
		"service": pool, "address": addr, "zone": "z", "state": state, "labels": []string{r.kind(), r.rack()},
		"capacity": map[string]int64{"cpu": size.MilliCPU, "requested_memory_mb": size.MemoryMB, "gpus": size.GPUs}, "born": r.startedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // The record is a fixed type.
	}
	return data
}

// chance returns true with probability p.
func (f *Fleet) chance(p float64) bool { return p > 0 && f.random.Float64() < p }

// runStarted records a start and checks the invariants that it may violate.
func (f *Fleet) runStarted(r *Runner, x *run) {
	if other := f.active[x.task]; other != nil {
		f.recordViolation("task %s runs twice at the same time, executions %d and %d", x.task, other.execution, x.execution)
	}
	if f.acknowledged[x.task] {
		f.recordViolation("task %s started again as execution %d on %s after its success was acknowledged", x.task, x.execution, r.ID)
	}
	if f.failures[x.task] >= f.maxAttempts {
		f.recordViolation("task %s started after %d failures", x.task, f.failures[x.task])
	}
	f.active[x.task] = x
	f.lastStart[x.task] = time.Now()
	f.notify(RunStarted, r, x, "")
	f.checkAccount(r, x)
	var used Size
	for _, y := range r.runs {
		used.MilliCPU += y.size.MilliCPU
		used.MemoryMB += y.size.MemoryMB
		used.GPUs += y.size.GPUs
	}
	if size := r.size(); used.MilliCPU > size.MilliCPU || used.MemoryMB > size.MemoryMB || used.GPUs > size.GPUs {
		f.recordViolation("runner %s runs more than its capacity since %s, %+v of %+v: %s", r.ID, timeOfDay(x.startedAt), used, size, r.runList())
	}
}

func (f *Fleet) runEnded(r *Runner, x *run, result string) {
	f.notify(RunEnded, r, x, result)
	if f.active[x.task] == x {
		delete(f.active, x.task)
	}
	switch result {
	case "done":
		f.succeeded[x.task] = true
	case "alone":
		f.gangTimeouts = append(f.gangTimeouts, time.Now())
	}
}

// acknowledge records that the scheduler has acknowledged the end of a run. An end is
// ignored if the runner's lease has lapsed since, because the scheduler may then have
// started the task elsewhere.
func (f *Fleet) acknowledge(r *Runner, e end) {
	if e.leaseLapsed {
		return
	}
	f.notify(EndNoted, r, &run{task: e.task, execution: e.execution}, e.result)
	switch e.result {
	case "done":
		f.acknowledged[e.task] = true
		if f.lastStart[e.task].After(e.at) {
			f.recordViolation("task %s started again at %s after execution %d succeeded at %s", e.task, timeOfDay(f.lastStart[e.task]), e.execution, timeOfDay(e.at))
		}
	case "failed":
		f.failures[e.task]++
	}
}

func timeOfDay(t time.Time) string { return t.Format("15:04:05.000") }

// Violations describes each invariant that was violated.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// SucceededTasks returns the number of tasks of a job that have succeeded.
func (f *Fleet) SucceededTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.succeeded {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// LastStart returns when a task of a job last started; zero if none ever did.
func (f *Fleet) LastStart(job string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for task, at := range f.lastStart {
		if strings.HasPrefix(task, job+".") && at.After(last) {
			last = at
		}
	}
	return last
}

// LateCalls describes the calls that a later life of their runner executed.
func (f *Fleet) LateCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.lateCalls...)
}

func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}
