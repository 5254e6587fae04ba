package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Runners by PROTOCOL.md: they run what they are told under leases and fencing tokens, publish themselves in
// the store, and list what runs and what has ended. They answer each call at once and lose none.

const (
	heartbeat       = 1500 * time.Millisecond
	entryLapse      = 3 * heartbeat
	maxHold         = 10 * time.Second
	gangTimeout     = 3 * time.Second
	maxWait         = 2 * time.Second
	maxEndsListed   = 500
	startupTime     = 300 * time.Millisecond
	runnerTick      = 20 * time.Millisecond
	registerDelay   = 100 * time.Millisecond
	pool            = "workorders"
	runnerMilliCPU  = 32000
	runnerMemoryMB  = 128 << 10
	runnersPerRack  = 6
	percentComplete = 100
)

// size is an amount of processor and memory.
type size struct{ milliCPU, memoryMB int64 }

// step is a step of a job as its client sent it, and how long its tasks really work.
type step struct {
	count   int
	size    size
	work    time.Duration
	lasting bool
	gang    bool
}

type run struct {
	task      string
	execution int64
	began     time.Time
	step      *step
	key       string
	// working is when the work began, for a gang when its last member came; zero before.
	working time.Time
}

type ended struct {
	number    int64
	task      string
	execution int64
	how       string
	at        time.Time
	// lapsed tells that the runner's lease lapsed while it held this end; then it does not count as taken note of.
	lapsed bool
}

// done is the end of a run as done that was taken note of.
type done struct {
	task, runner string
	execution    int64
	at           time.Time
}

type runner struct {
	fleet      *fleet
	id, addr   string
	kind, rack string
	born       time.Time
	server     *http.Server
	up         bool
	fence      int64
	leaseEnd   time.Time
	runs       map[string]*run
	ends       []ended
	last       int64
	highest    map[string]int64
}

// span is a run as the runners saw it.
type span struct {
	task, runner string
	execution    int64
	began, ended time.Time
	how          string
}

// fleet holds the runners and what they ran.
type fleet struct {
	mu      sync.Mutex
	store   *store
	record  *record
	runners []*runner
	steps   func(task string) *step
	changed chan struct{}
	spans   []*span
	open    map[*run]*span
	// begunIDs holds the jobs that have had a run.
	begunIDs map[string]bool
	// noted holds the ends as done that were taken note of, by RULES.md.
	noted []done
	// quiet leaves starts and ends of runs out of the record.
	quiet bool
}

func newFleet(s *store, r *record, steps func(task string) *step) *fleet {
	f := &fleet{store: s, record: r, steps: steps, changed: make(chan struct{}), open: make(map[*run]*span), begunIDs: make(map[string]bool)}
	go func() {
		for range time.Tick(runnerTick) {
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
		}
	}()
	return f
}

// add starts a runner and publishes it.
func (f *fleet) add(id, kind, rack string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &runner{
		fleet: f, id: id, addr: l.Addr().String(), kind: kind, rack: rack, born: time.Now(), up: true,
		runs: make(map[string]*run), highest: make(map[string]int64),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	f.store.put("servers/"+id, map[string]any{
		"service": pool, "address": r.addr, "zone": "regina", "version": 1, "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
		"capacity": map[string]int64{"cpu": runnerMilliCPU, "requested_memory_mb": runnerMemoryMB, "gpus": 0},
		"labels":   []string{kind, rack}, "born": r.born.UnixMilli(),
	})
	return nil
}

// crash loses a runner for good: all that it runs and knows is gone, and its entry lapses.
func (f *fleet) crash(r *runner) {
	f.mu.Lock()
	now := time.Now()
	r.up = false
	for _, x := range r.sorted() {
		f.finish(now, r, x, "lost")
	}
	f.mu.Unlock()
	_ = r.server.Close()
	f.record.sayf("runner %s of %s is lost for good", r.id, r.rack)
	time.AfterFunc(entryLapse, func() {
		f.store.remove("servers/" + r.id)
		f.record.logf("the entry of runner %s has lapsed", r.id)
	})
}

func (r *runner) sorted() []*run {
	out := make([]*run, 0, len(r.runs))
	for _, x := range r.runs {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return out
}

// begin adds a run.
func (f *fleet) begin(now time.Time, r *runner, task string, execution int64) {
	st := f.steps(task)
	x := &run{task: task, execution: execution, began: now, step: st}
	x.key = fmt.Sprintf("%s#%d", task[:strings.LastIndexByte(task, '.')], execution)
	r.runs[task] = x
	if !st.gang {
		x.working = now
	}
	sp := &span{task: task, runner: r.id, execution: execution, began: now}
	f.spans = append(f.spans, sp)
	f.open[x] = sp
	id, _, _ := strings.Cut(task, ".")
	f.begunIDs[id] = true
	if !f.quiet {
		f.record.logf("run %s execution %d starts on %s (%s)", task, execution, r.id, r.rack)
	}
	if st.gang {
		members := f.members(x.key)
		if len(members) == st.count {
			for _, m := range members {
				m.working = now
			}
		}
	}
}

// members returns the runs of a gang that are present.
func (f *fleet) members(key string) []*run {
	var out []*run
	for _, r := range f.runners {
		for _, x := range r.runs {
			if x.key == key {
				out = append(out, x)
			}
		}
	}
	return out
}

// finish ends a run.
func (f *fleet) finish(now time.Time, r *runner, x *run, how string) {
	if r.runs[x.task] != x {
		return
	}
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.execution)
	if how != "lost" {
		r.last++
		r.ends = append(r.ends, ended{number: r.last, task: x.task, execution: x.execution, how: how, at: now})
	}
	sp := f.open[x]
	delete(f.open, x)
	sp.ended, sp.how = now, how
	if !f.quiet {
		f.record.logf("run %s execution %d ends on %s: %s", x.task, x.execution, r.id, how)
	}
	if x.step.gang {
		for _, o := range f.runners {
			for _, m := range o.sorted() {
				if m.key != x.key {
					continue
				}
				if how == "done" {
					f.finish(now, o, m, "done")
				} else if !x.working.IsZero() {
					f.finish(now, o, m, "broken")
				}
			}
		}
	}
	f.signal()
}

func (f *fleet) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// advance ends the runs that are due, whose lease has lapsed, or that wait too long for the others of a gang.
func (f *fleet) advance(now time.Time) {
	for _, r := range f.runners {
		if now.After(r.leaseEnd) {
			for i := range r.ends {
				r.ends[i].lapsed = true
			}
		}
		for _, x := range r.sorted() {
			switch {
			case now.After(r.leaseEnd):
				f.finish(now, r, x, "lapsed")
			case x.working.IsZero():
				if now.Sub(x.began) > gangTimeout {
					f.finish(now, r, x, "alone")
				}
			case !x.step.lasting && now.Sub(x.working) >= x.step.work:
				f.finish(now, r, x, "done")
			}
		}
	}
}

func (x *run) percent(now time.Time) int {
	switch {
	case x.working.IsZero():
		return 0
	case x.step.lasting && now.Sub(x.working) < startupTime:
		return 0
	case x.step.lasting:
		return percentComplete
	}
	return min(percentComplete, int(percentComplete*now.Sub(x.working)/max(x.step.work, 1)))
}

type order struct {
	Task      string `json:"task"`
	Execution int64  `json:"execution"`
	Deadline  int64  `json:"deadline_ms"`
	Fence     int64  `json:"fencing_token"`
	LastSeen  int64  `json:"last_seen"`
	WaitMS    int64  `json:"wait_ms"`
}

func (r *runner) answer(now time.Time) map[string]any {
	return map[string]any{"clock_ms": now.Sub(r.born).Milliseconds(), "born": r.born.UnixMilli()}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	f := r.fleet
	if id := req.Header.Get("Expected-Instance"); id != "" && id != r.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	f.advance(now)
	refuse := func(reason string) {
		a := r.answer(now)
		a["reason"] = reason
		reply(w, http.StatusConflict, a)
	}
	if o.Fence < r.fence {
		refuse("fence")
		return
	}
	r.fence = o.Fence
	if o.Deadline > 0 {
		until := r.born.Add(time.Duration(o.Deadline) * time.Millisecond)
		if limit := now.Add(maxHold); until.After(limit) {
			until = limit
		}
		if req.URL.Path == "/-/run-start" && !until.After(now) {
			refuse("late")
			return
		}
		if until.After(r.leaseEnd) {
			r.leaseEnd = until
		}
	}
	switch req.URL.Path {
	case "/-/run-start":
		if x := r.runs[o.Task]; x != nil && x.execution == o.Execution {
			reply(w, http.StatusOK, r.answer(now))
			return
		}
		if o.Execution <= r.highest[o.Task] || r.runs[o.Task] != nil {
			refuse("old")
			return
		}
		f.begin(now, r, o.Task, o.Execution)
		reply(w, http.StatusOK, r.answer(now))
	case "/-/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Execution)
		if x := r.runs[o.Task]; x != nil && x.execution <= o.Execution {
			f.finish(now, r, x, "stopped")
		}
		reply(w, http.StatusOK, r.answer(now))
	case "/-/pace":
		reply(w, http.StatusOK, r.answer(now))
	case "/-/hold":
		for len(r.ends) > 0 && r.ends[0].number <= o.LastSeen {
			if e := r.ends[0]; e.how == "done" && !e.lapsed {
				f.noted = append(f.noted, done{e.task, r.id, e.execution, e.at})
			}
			r.ends = r.ends[1:]
		}
		until := now.Add(min(time.Duration(o.WaitMS)*time.Millisecond, maxWait))
		for len(r.ends) == 0 && time.Now().Before(until) && r.up {
			changed := f.changed
			f.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(until)):
			case <-req.Context().Done():
			}
			f.mu.Lock()
			if req.Context().Err() != nil {
				return
			}
		}
		if !r.up {
			panic(http.ErrAbortHandler)
		}
		reply(w, http.StatusOK, r.lists(time.Now()))
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (r *runner) lists(now time.Time) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.sorted() {
		running = append(running, []any{x.task, x.execution, "", x.percent(now), x.step.size.milliCPU})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEndsListed)] {
		finished = append(finished, []any{e.number, e.task, e.execution, e.how, ""})
	}
	a := r.answer(now)
	a["running"], a["finished"] = running, finished
	return a
}

// running returns how many runs of a job are on runners that are up.
func (f *fleet) running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runners {
		for task := range r.runs {
			if strings.HasPrefix(task, job+".") {
				n++
			}
		}
	}
	return n
}

// starts returns how many runs of a job have started.
func (f *fleet) starts(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.spans {
		if strings.HasPrefix(s.task, job+".") {
			n++
		}
	}
	return n
}

// active returns how many runs there are.
func (f *fleet) active() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// firstStart returns when the first run started.
func (f *fleet) firstStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spans[0].began
}

// mostEnds returns the largest number of ends that a runner holds.
func (f *fleet) mostEnds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runners {
		n = max(n, len(r.ends))
	}
	return n
}

// repeated is a start that the rule TWICE forbids.
type repeated struct {
	again *span
	// end is the noted end before the start, overlap the run beside it; one of them is set.
	end     done
	overlap *span
}

// twice returns the starts after a run of the task had ended as done, if that end was taken note of, and those beside
// another run of the task.
func (f *fleet) twice() []repeated {
	f.mu.Lock()
	defer f.mu.Unlock()
	byTask := make(map[string][]*span)
	for _, s := range f.spans {
		byTask[s.task] = append(byTask[s.task], s)
	}
	var out []repeated
	for _, d := range f.noted {
		for _, s := range byTask[d.task] {
			if s.began.After(d.at) {
				out = append(out, repeated{again: s, end: d})
			}
		}
	}
	for _, spans := range byTask {
		for i, s := range spans {
			for _, o := range spans[:i] {
				if o.ended.IsZero() || s.began.Before(o.ended) {
					out = append(out, repeated{again: s, overlap: o})
				}
			}
		}
	}
	return out
}

// begunJobs returns how many jobs have had a run.
func (f *fleet) begunJobs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begunIDs)
}

// room is what the runners that are up hold and use, and for how many tasks of a size there is room.
type room struct {
	used, whole size
	places      int
}

func (f *fleet) room(task size) room {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out room
	for _, r := range f.runners {
		if !r.up {
			continue
		}
		left := size{runnerMilliCPU, runnerMemoryMB}
		for _, x := range r.runs {
			left.milliCPU -= x.step.size.milliCPU
			left.memoryMB -= x.step.size.memoryMB
		}
		out.whole.milliCPU += runnerMilliCPU
		out.whole.memoryMB += runnerMemoryMB
		out.used.milliCPU += runnerMilliCPU - left.milliCPU
		out.used.memoryMB += runnerMemoryMB - left.memoryMB
		if task.milliCPU > 0 {
			n := left.milliCPU / task.milliCPU
			if task.memoryMB > 0 {
				n = min(n, left.memoryMB/task.memoryMB)
			}
			out.places += int(max(0, n))
		}
	}
	return out
}
