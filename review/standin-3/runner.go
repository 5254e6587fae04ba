package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// silentBeats is the number of heartbeat intervals of silence after which an entry is removed.
	silentBeats = 3
	maxHold     = 10 * time.Second
	gangTimeout = 3 * time.Second
	maxEnds     = 500
	// advanceInterval is how often runs are advanced.
	advanceInterval = 5 * time.Millisecond
)

// size is an amount of resources.
type size struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"requested_memory_mb"`
	GPUs   int64 `json:"gpus"`
}

func (a size) add(b size) size { return size{a.CPU + b.CPU, a.Memory + b.Memory, a.GPUs + b.GPUs} }

func (a size) fits(b size) bool { return a.CPU <= b.CPU && a.Memory <= b.Memory && a.GPUs <= b.GPUs }

func (a size) sub(b size) size { return size{a.CPU - b.CPU, a.Memory - b.Memory, a.GPUs - b.GPUs} }

// run is a run on a runner.
type run struct {
	task      taskName
	execution int64
	size      size
	step      *step
	startedAt time.Time
	// left is the work that is left; meaningless for a task that lasts.
	left, work time.Duration
	stopping   bool
	gang       *gang
	// pace is the share in percent at which the run works.
	pace int
}

// working reports whether the run makes progress: a member of a gang does once all members are present.
func (x *run) working() bool { return x.gang == nil || x.gang.assembled }

func (x *run) percent() int {
	switch {
	case !x.working():
		return 0
	case x.step.Lasting:
		return 100
	}
	return int(100 * (x.work - x.left) / max(x.work, 1))
}

// gang is an attempt of a gang.
type gang struct {
	members   map[*run]*runner
	size      int
	assembled bool
}

type end struct {
	number    int64
	task      string
	execution int64
	how       string
}

// runner is one runner of the service, as PROTOCOL.md describes it.
type runner struct {
	w          *world
	id         string
	address    string
	zone, rack string
	kind       string
	capacity   size
	server     *http.Server

	// world.mu guards what follows.
	up       bool
	born     time.Time
	token    int64
	leaseEnd time.Time
	runs     map[string]*run
	ends     []end
	lastEnd  int64
	// highest holds the highest execution that was stopped or ended, by task.
	highest  map[string]int64
	draining bool
	ended    chan struct{}
}

func (w *world) addRunner(id, zone, kind, rack string, capacity size) (*runner, error) {
	r := &runner{w: w, id: id, zone: zone, kind: kind, rack: rack, capacity: capacity}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = l.Addr().String()
	w.mu.Lock()
	defer w.mu.Unlock()
	r.begin(l)
	w.runners = append(w.runners, r)
	return r, nil
}

// begin starts an incarnation.
func (r *runner) begin(l net.Listener) {
	r.up, r.born, r.token, r.leaseEnd, r.lastEnd = true, time.Now(), 0, time.Time{}, 0
	r.runs, r.ends, r.highest, r.ended = make(map[string]*run), nil, make(map[string]int64), make(chan struct{})
	r.server = &http.Server{Handler: r}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.register()
}

// register writes the runner's entry.
func (r *runner) register() {
	state := "ready"
	if r.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"sequence": 1, "born": r.born.UnixMilli(), "capacity": r.capacity, "labels": []string{r.kind, r.rack},
	})
	if err != nil {
		panic(err) // The fields are fixed types.
	}
	r.w.store.put("servers/"+r.id, value)
}

// crash ends the runner's process for good. Its entry is removed after silentBeats.
func (r *runner) crash() {
	r.w.mu.Lock()
	r.up = false
	for _, x := range r.runs {
		r.w.leaveGang(x)
	}
	r.runs = nil
	server := r.server
	close(r.ended)
	r.w.mu.Unlock()
	_ = server.Close()
	r.w.rec.logf("runner %s crashed (rack %s)", r.id, r.rack)
	born := r.born
	time.AfterFunc(silentBeats*heartbeat, func() {
		r.w.mu.Lock()
		defer r.w.mu.Unlock()
		if r.born != born {
			return // It has started again.
		}
		r.w.store.drop("servers/" + r.id)
		r.w.rec.logf("entry of runner %s removed", r.id)
	})
}

type order struct {
	Task          string `json:"task"`
	Execution     int64  `json:"execution"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	WaitMS        int64  `json:"wait_ms"`
	Percentage    int    `json:"percentage"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if id := req.Header.Get("Expected-Instance"); id != "" && id != r.id {
		answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if delay := r.w.lateness(r, req.URL.Path, &o); delay > 0 {
		if delay == lost {
			r.w.rec.logf("runner %s leaves %s %s#%d unanswered", r.id, req.URL.Path, o.Task, o.Execution)
			<-req.Context().Done()
			return
		}
		r.w.rec.logf("runner %s leaves %s %s#%d unanswered and carries it out %v later", r.id, req.URL.Path, o.Task, o.Execution, delay)
		time.AfterFunc(delay, func() {
			status, body := r.execute(req.URL.Path, &o)
			r.w.rec.logf("runner %s carries out the late %s %s#%d percentage %d: %d %v", r.id, req.URL.Path, o.Task, o.Execution, o.Percentage, status, body["reason"])
		})
		<-req.Context().Done()
		return
	}
	status, body := r.execute(req.URL.Path, &o)
	if status == 0 {
		panic(http.ErrAbortHandler) // It answers nothing.
	}
	if req.URL.Path == "/-/hold" && status == http.StatusOK && o.WaitMS > 0 {
		body = r.awaitEnd(req, &o)
	}
	answer(w, status, body)
}

// awaitEnd waits for an end that the caller has not seen.
func (r *runner) awaitEnd(req *http.Request, o *order) map[string]any {
	timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		r.w.mu.Lock()
		ready, ended, up := waited || r.lastEnd > o.LastSeen, r.ended, r.up
		if up && ready {
			defer r.w.mu.Unlock()
			return r.report()
		}
		r.w.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler) // A process that has crashed answers nothing.
		}
		select {
		case <-ended:
		case <-req.Context().Done():
			waited = true
		case <-timer.C:
			waited = true
		}
	}
}

func (r *runner) body() map[string]any {
	return map[string]any{"clock_ms": time.Since(r.born).Milliseconds(), "born": r.born.UnixMilli()}
}

func (r *runner) refuse(reason string) (int, map[string]any) {
	b := r.body()
	b["reason"] = reason
	return http.StatusConflict, b
}

// execute carries out a call. The status is 0 if the process has crashed.
func (r *runner) execute(path string, o *order) (int, map[string]any) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	return r.executeLocked(path, o)
}

func (r *runner) executeLocked(path string, o *order) (int, map[string]any) {
	if !r.up {
		return 0, nil
	}
	if o.Token < r.token {
		return r.refuse("fence")
	}
	r.token = o.Token
	now := time.Now()
	if o.DeadlineMS > 0 {
		until := r.born.Add(time.Duration(o.DeadlineMS) * time.Millisecond)
		if limit := now.Add(maxHold); until.After(limit) {
			until = limit
		}
		if path == "/-/run-start" && !until.After(now) {
			return r.refuse("late")
		}
		if until.After(r.leaseEnd) {
			r.leaseEnd = until
		}
	}
	switch path {
	case "/-/run-start":
		return r.start(now, o)
	case "/-/run-stop":
		return r.stop(o)
	case "/-/pace":
		return r.setPace(o)
	case "/-/hold":
		for len(r.ends) > 0 && r.ends[0].number <= o.LastSeen {
			r.ends = r.ends[1:]
		}
		return http.StatusOK, r.report()
	}
	return http.StatusBadRequest, r.body()
}

func (r *runner) start(now time.Time, o *order) (int, map[string]any) {
	name, err := parseTask(o.Task)
	st := r.w.stepOf(name)
	if err != nil || st == nil {
		r.w.rec.violate("UNASKED: runner %s is told to start %s, which no client sent", r.id, o.Task)
		return http.StatusBadRequest, r.body()
	}
	if x := r.runs[o.Task]; x != nil && x.execution == o.Execution {
		return http.StatusOK, r.body()
	}
	if o.Execution <= r.highest[o.Task] || r.runs[o.Task] != nil {
		return r.refuse("old")
	}
	x := &run{task: name, execution: o.Execution, size: st.claim(), step: st, startedAt: now, left: st.work, work: st.work, pace: 100}
	r.runs[o.Task] = x
	r.w.joinGang(r, x)
	r.w.rec.logf("run %s#%d starts on %s (kind %s, rack %s)", o.Task, o.Execution, r.id, r.kind, r.rack)
	r.w.checkStart(r, x)
	return http.StatusOK, r.body()
}

func (r *runner) stop(o *order) (int, map[string]any) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Execution)
	if x := r.runs[o.Task]; x != nil && x.execution <= o.Execution {
		r.finish(x, "stopped")
	}
	return http.StatusOK, r.body()
}

func (r *runner) setPace(o *order) (int, map[string]any) {
	if x := r.runs[o.Task]; x != nil && x.execution == o.Execution {
		x.pace = o.Percentage
		r.w.rec.logf("runner %s sets the pace of %s#%d to %d", r.id, o.Task, o.Execution, o.Percentage)
	}
	return http.StatusOK, r.body()
}

// report returns both lists.
func (r *runner) report() map[string]any {
	b := r.body()
	running, finished := [][]any{}, [][]any{}
	for name, x := range r.runs {
		running = append(running, []any{name, x.execution, "", x.percent(), x.step.CPU})
	}
	sort.Slice(running, func(i, k int) bool { return running[i][0].(string) < running[k][0].(string) })
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.execution, e.how, ""})
	}
	b["running"], b["finished"] = running, finished
	return b
}

// finish ends a run.
func (r *runner) finish(x *run, how string) {
	name := x.task.String()
	delete(r.runs, name)
	r.highest[name] = max(r.highest[name], x.execution)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, name, x.execution, how})
	r.w.rec.logf("run %s#%d ends %s on %s", name, x.execution, how, r.id)
	close(r.ended)
	r.ended = make(chan struct{})
	if how == "done" {
		r.w.done[name] = true
	} else {
		r.w.leaveGang(x)
	}
}

// advance ends the runs that are due.
func (r *runner) advance(now time.Time, passed time.Duration) {
	for _, x := range sortedRuns(r.runs) {
		if r.runs[x.task.String()] != x {
			continue
		}
		switch {
		case now.After(r.leaseEnd):
			r.finish(x, "lapsed")
		case !x.working():
			if now.Sub(x.startedAt) > gangTimeout {
				r.finish(x, "alone")
			}
		case !x.step.Lasting:
			share := x.pace
			if !x.step.Filling {
				share = 100
			}
			if x.left -= passed * time.Duration(share) / 100; x.left > 0 {
				continue
			}
			if x.gang != nil {
				r.w.finishGang(x.gang)
			} else {
				r.finish(x, "done")
			}
		}
	}
}

func sortedRuns(runs map[string]*run) []*run {
	out := make([]*run, 0, len(runs))
	for _, x := range runs {
		out = append(out, x)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].task.String() < out[k].task.String() })
	return out
}

// joinGang adds a run to the attempt of its gang.
func (w *world) joinGang(r *runner, x *run) {
	if !x.step.Gang {
		return
	}
	name := x.task.String()
	key := fmt.Sprintf("%s#%d", name[:strings.LastIndexByte(name, '.')], x.execution)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: make(map[*run]*runner), size: x.step.Count}
		w.gangs[key] = g
	}
	x.gang = g
	g.members[x] = r
	if len(g.members) == g.size && !g.assembled {
		g.assembled = true
		racks := make(map[string]bool)
		for _, on := range g.members {
			racks[on.rack] = true
		}
		for m := range g.members {
			if x.step.SameRack && len(racks) > 1 {
				m.work = m.work * remoteFactor
			}
			m.left = m.work
		}
	}
}

// finishGang ends all members of a gang as done.
func (w *world) finishGang(g *gang) {
	for m, on := range g.members {
		if on.runs[m.task.String()] == m {
			on.finish(m, "done")
		}
	}
}

// leaveGang breaks the gang of a run that ended otherwise.
func (w *world) leaveGang(x *run) {
	g := x.gang
	if g == nil {
		return
	}
	x.gang = nil
	delete(g.members, x)
	if !g.assembled {
		return
	}
	for m, on := range g.members {
		m.gang = nil
		if on.runs[m.task.String()] == m {
			on.finish(m, "broken")
		}
	}
	g.members = nil
}
