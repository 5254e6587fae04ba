// Package cellrunner stands in for the runners of a cell: it starts, holds and stops
// runs under leases and fences, and checks what must hold over all runners.
package cellrunner

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"rhubarbstall.example/standin/memnet"
)

// Size is what a task takes of a runner.
type Size struct {
	CPU, MB int64
}

// Faults are the shares of orders that go wrong, 0 to 1.
type Faults struct {
	// Lost orders are carried out and not answered.
	Lost float64
	// Late orders are not answered and carried out 2 to 6 s later.
	Late float64
	// Fail is the share of runs that end as failed.
	Fail float64
}

type run struct {
	task      string
	execution int64
	ends      time.Time
	size      Size
}

type end struct {
	number    int64
	task      string
	execution int64
	how       string
	at        time.Time
	// lapsed tells whether the runner's lease lapsed after the end.
	lapsed bool
}

// Runner is one runner; it is an http.Handler.
type Runner struct {
	ID    string
	fleet *Fleet

	born     time.Time
	runs     map[string]*run
	ends     []end
	counter  int64
	fence    int64
	deadline time.Time
	highest  map[string]int64
}

// longestHold bounds the lease of a run.
const longestHold = 6 * time.Second

type order struct {
	Task      string `json:"task"`
	Execution int64  `json:"execution"`
	Deadline  int64  `json:"deadline_ms"`
	Fence     int64  `json:"fencing_token"`
	LastSeen  int64  `json:"last_seen"`
	Wait      int64  `json:"wait_ms"`
}

func (r *Runner) clock(now time.Time) int64 { return now.Sub(r.born).Milliseconds() }

func (r *Runner) answer(now time.Time) map[string]any {
	return map[string]any{"clock_ms": r.clock(now)}
}

func (r *Runner) refuse(now time.Time, reason string) (int, any) {
	a := r.answer(now)
	a["reason"] = reason
	return http.StatusConflict, a
}

func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(memnet.Latency)
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get("Expected-Instance"); id != "" && id != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := r.fleet
	f.mu.Lock()
	lost, late := f.chance(f.faults.Lost), f.chance(f.faults.Late)
	delay := 2*time.Second + time.Duration(f.random.Int64N(int64(4*time.Second)))
	f.mu.Unlock()
	if late && req.URL.Path != "/-/hold" {
		f.mu.Lock()
		life := r.born
		f.mu.Unlock()
		time.AfterFunc(delay, func() { r.carryOutLate(life, req.URL.Path, o) })
		silence(req)
	}
	status, body := r.carryOut(req.URL.Path, o)
	if req.URL.Path == "/-/hold" && status == http.StatusOK && o.Wait > 0 {
		status, body = r.waitForEnd(req, o)
	}
	if lost {
		silence(req)
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // The bodies are fixed types.
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func silence(req *http.Request) {
	// The server notices a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

func (r *Runner) waitForEnd(req *http.Request, o order) (int, any) {
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	r.fleet.mu.Lock()
	life := r.born
	r.fleet.mu.Unlock()
	for {
		r.fleet.mu.Lock()
		if !r.born.Equal(life) {
			// A crash ends the connections.
			r.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		r.pass(time.Now())
		ready := len(r.ends) > 0 && r.ends[len(r.ends)-1].number > o.LastSeen
		r.fleet.mu.Unlock()
		if ready || !time.Now().Before(until) {
			// The lease began and the ends were forgotten when the call came.
			o.Deadline, o.LastSeen = 0, 0
			return r.carryOut("/-/hold", o)
		}
		t := time.NewTimer(20 * time.Millisecond)
		select {
		case <-t.C:
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// carryOutLate does what an order says unless the runner has crashed meanwhile.
func (r *Runner) carryOutLate(life time.Time, path string, o order) {
	r.fleet.mu.Lock()
	same := r.born.Equal(life)
	r.fleet.mu.Unlock()
	if same {
		r.carryOut(path, o)
	}
}

// carryOut does what an order says, now.
func (r *Runner) carryOut(path string, o order) (int, any) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, other := range f.runners {
		other.pass(now)
	}
	if o.Fence < r.fence {
		return r.refuse(now, "fence")
	}
	r.fence = o.Fence
	if o.Deadline > 0 {
		until := r.born.Add(time.Duration(o.Deadline) * time.Millisecond)
		if limit := now.Add(longestHold); until.After(limit) {
			until = limit
		}
		if path == "/-/run-start" && !until.After(now) {
			return r.refuse(now, "late")
		}
		if until.After(r.deadline) {
			r.deadline = until
		}
	}
	switch path {
	case "/-/run-start":
		return r.start(now, o)
	case "/-/run-stop":
		return r.stop(now, o)
	}
	return r.list(now, o)
}

func (r *Runner) start(now time.Time, o order) (int, any) {
	if x := r.runs[o.Task]; x != nil && x.execution == o.Execution {
		return http.StatusOK, r.answer(now)
	}
	if o.Execution <= r.highest[o.Task] || r.runs[o.Task] != nil {
		return r.refuse(now, "old")
	}
	size, work := r.fleet.task(o.Task)
	x := &run{task: o.Task, execution: o.Execution, ends: now.Add(work), size: size}
	r.runs[o.Task] = x
	r.fleet.started(r, x)
	return http.StatusOK, r.answer(now)
}

func (r *Runner) stop(now time.Time, o order) (int, any) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Execution)
	if x := r.runs[o.Task]; x != nil && x.execution <= o.Execution {
		r.finish(x, "stopped")
	}
	return http.StatusOK, r.answer(now)
}

func (r *Runner) list(now time.Time, o order) (int, any) {
	for len(r.ends) > 0 && r.ends[0].number <= o.LastSeen {
		r.fleet.noted(r.ends[0])
		r.ends = r.ends[1:]
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.runs {
		percent := 100 - int(x.ends.Sub(now)/(10*time.Millisecond))
		running = append(running, []any{x.task, x.execution, "", percent, 100})
	}
	for _, e := range r.ends {
		finished = append(finished, []any{e.number, e.task, e.execution, e.how, ""})
	}
	a := r.answer(now)
	a["running"], a["finished"], a["born"] = running, finished, r.born.UnixMilli()
	return http.StatusOK, a
}

// pass lets runs end whose time has come or whose lease has lapsed.
func (r *Runner) pass(now time.Time) {
	if now.After(r.deadline) {
		for i := range r.ends {
			r.ends[i].lapsed = true
		}
	}
	for _, x := range r.runs {
		switch {
		case now.After(r.deadline) && x.ends.After(r.deadline):
			r.finish(x, "lapsed")
		case !now.Before(x.ends):
			if r.fleet.chance(r.fleet.faults.Fail) {
				r.finish(x, "failed")
			} else {
				r.finish(x, "done")
			}
		}
	}
}

func (r *Runner) finish(x *run, how string) {
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.execution)
	r.counter++
	r.ends = append(r.ends, end{number: r.counter, task: x.task, execution: x.execution, how: how, at: time.Now()})
	r.fleet.finished(x, how)
}

// Fleet is a set of runners with the record of what they ran.
type Fleet struct {
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	size   Size
	task   func(name string) (Size, time.Duration)
	active map[string]*run
	// done holds the tasks that must not start again, ever those that were done at
	// any time.
	done map[string]bool
	ever map[string]bool
	// last holds the latest start of each task.
	last    map[string]time.Time
	fails   map[string]int
	allowed int
	broken  []string
	runners []*Runner
}

// NewFleet returns a fleet of runners of one size. task tells the size and run time
// of a task; a task may fail at most attempts times.
func NewFleet(seed uint64, size Size, attempts int, task func(name string) (Size, time.Duration)) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, 2)), size: size, task: task, allowed: attempts,
		active: make(map[string]*run), done: make(map[string]bool), ever: make(map[string]bool), last: make(map[string]time.Time), fails: make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (f *Fleet) SetFaults(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// Add returns a new runner.
func (f *Fleet) Add(id string) *Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Runner{ID: id, fleet: f, born: time.Now().Add(-time.Minute), runs: make(map[string]*run), highest: make(map[string]int64)}
	f.runners = append(f.runners, r)
	return r
}

// Crash lets a runner lose everything and start again.
func (f *Fleet) Crash(r *Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range r.runs {
		delete(f.active, x.task)
	}
	r.runs, r.ends, r.counter, r.fence = make(map[string]*run), nil, 0, 0
	r.highest, r.born, r.deadline = make(map[string]int64), time.Now(), time.Time{}
}

// Entry returns the record that a runner writes of itself.
func (f *Fleet) Entry(r *Runner, pool, addr, state string) []byte {
	data, err := json.Marshal(map[string]any{
		"service": pool, "address": addr, "zone": "z", "state": state, "labels": []string{"a", "r1"},
		"capacity": map[string]int64{"cpu": f.size.CPU, "requested_memory_mb": f.size.MB, "gpus": 0}, "born": r.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // The record is a fixed type.
	}
	return data
}

func (f *Fleet) chance(p float64) bool { return p > 0 && f.random.Float64() < p }

func (f *Fleet) breaks(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

func (f *Fleet) started(r *Runner, x *run) {
	if other := f.active[x.task]; other != nil {
		f.breaks("task %s runs twice, executions %d and %d", x.task, other.execution, x.execution)
	}
	if f.done[x.task] {
		f.breaks("task %s started again as execution %d on %s after an end as done was noted", x.task, x.execution, r.ID)
	}
	if f.fails[x.task] >= f.allowed {
		f.breaks("task %s started after %d failures", x.task, f.fails[x.task])
	}
	f.active[x.task] = x
	f.last[x.task] = time.Now()
	var used Size
	for _, y := range r.runs {
		used.CPU += y.size.CPU
		used.MB += y.size.MB
	}
	if used.CPU > f.size.CPU || used.MB > f.size.MB {
		f.breaks("runner %s is overfilled with %+v", r.ID, used)
	}
}

func (f *Fleet) finished(x *run, how string) {
	if f.active[x.task] == x {
		delete(f.active, x.task)
	}
	if how == "done" {
		f.ever[x.task] = true
	}
}

// noted records that the scheduler let an end be forgotten. Ends whose runner's lease
// lapsed since do not bind.
func (f *Fleet) noted(e end) {
	if e.lapsed {
		return
	}
	switch e.how {
	case "done":
		f.done[e.task] = true
		if f.last[e.task].After(e.at) {
			f.breaks("task %s started again at %s after execution %d was done at %s", e.task, clockTime(f.last[e.task]), e.execution, clockTime(e.at))
		}
	case "failed":
		f.fails[e.task]++
	}
}

func clockTime(t time.Time) string { return t.Format("15:04:05.000") }

// Broken returns what did not hold.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// DoneOf counts the tasks of a job that were done.
func (f *Fleet) DoneOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.ever {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}
