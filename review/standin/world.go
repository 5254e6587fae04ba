package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment that the checks need.
const (
	finish   = 14 * time.Second
	idleSpan = 3 * time.Second
)

// queue is a route of the operator's configuration.
type queue struct {
	Name        string
	MaxAttempts int
	Priority    int
	// Advice tells whether starts need a ticket of the advisor.
	Advice bool
	// DecisionMS and PerWorkerMS are the durations of the advisor; 0 for those of label-check of
	// psalter-hq.
	DecisionMS, PerWorkerMS float64
	// Good is the share of the workers that may run a step; 0 for all.
	Good float64
}

// callTime returns how long the advisor takes for a call that names n workers.
func (q *queue) callTime(n int) time.Duration {
	return time.Duration((q.decisionMS() + float64(n)*q.perWorkerMS()) * float64(time.Millisecond))
}

func (q *queue) decisionMS() float64 { return cmp.Or(q.DecisionMS, adviceDecisionMS) }

func (q *queue) perWorkerMS() float64 { return cmp.Or(q.PerWorkerMS, advicePerWorkerMS) }

func (q *queue) prefix() string { return "/" + q.Name + "/" }

type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu"`
	Memory     int64  `json:"requested_memory_mb"`
	EstimateMS int64  `json:"estimated_ms"`
	After      []int  `json:"after,omitempty"`
	Gang       bool   `json:"gang_scheduled,omitempty"`
	SameRack   bool   `json:"same_rack,omitempty"`
	Label      string `json:"requirements,omitempty"`
	Lasting    bool   `json:"long_running,omitempty"`

	// work is how long a task takes on a sound runner.
	work time.Duration
}

// job is what a client submits, and what the runners have seen of it.
type job struct {
	ID    string
	Spec  string
	Steps []step
	queue *queue

	accepted time.Time
	// cancelled is when a client got the acknowledgement of the job's cancelling.
	cancelled time.Time
	// hopeless tells that each run of the job's second step fails by its own fault.
	hopeless bool
	// failedNoted counts the ends failed of which the system has taken note, by task; overBudget the
	// starts after as many as the queue allows.
	failedNoted map[string]int
	overBudget  int
	// done holds the tasks that have ended done, by step and index.
	done map[string]bool
	// failed counts the runs that ended failed, by task; lastEnd is the last end by task.
	failed  map[string]int
	lastEnd map[string]time.Time
	live    int
	liveBy  map[string]int
	starts  int
	// idleSince is since when nothing runs although a task's turn has come and there is room.
	idleSince time.Time
}

func (j *job) stepDone(s int) bool {
	if j.Steps[s].Lasting {
		return false
	}
	for i := range j.Steps[s].Count {
		if !j.done[fmt.Sprintf("%d.%d", s, i)] {
			return false
		}
	}
	return true
}

func (j *job) complete() bool {
	for s := range j.Steps {
		if !j.stepDone(s) {
			return false
		}
	}
	return true
}

// turn returns a step whose turn has come: all steps before it are done, and it is not.
func (j *job) turn() (int, bool) {
	for s := range j.Steps {
		if j.stepDone(s) {
			continue
		}
		ready := true
		for _, d := range j.Steps[s].After {
			ready = ready && j.stepDone(d)
		}
		if ready {
			return s, true
		}
	}
	return 0, false
}

// world holds the stand-ins and what they have seen.
type world struct {
	mu      sync.Mutex
	rec     *record
	store   *store
	runners []*runner
	jobs    map[string]*job
	order   []*job
	tickets map[string]ticket
	vms     []*vm

	storeAddr, advisorAddr string
	dir                    string
	version                int
	// onStart is called for each start, with the lock held.
	onStart func(x *run)
	// onTick is called each 10 ms, with the lock held.
	onTick func()
}

func newWorld(rec *record, dir string) (*world, error) {
	w := &world{rec: rec, store: newStore(), jobs: make(map[string]*job), tickets: make(map[string]ticket), dir: dir}
	var err error
	if w.storeAddr, err = serve(w.store); err != nil {
		return nil, err
	}
	if w.advisorAddr, err = serve(http.HandlerFunc(w.advise)); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			w.tick(time.Now())
		}
	}()
	return w, nil
}

// serve serves a handler on a free port of the loopback address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// configure writes a version of the operator's configuration.
func (w *world) configure(queues ...*queue) {
	w.version += 3
	var routes []map[string]any
	var names []string
	for _, q := range queues {
		route := map[string]any{
			"name": q.Name, "host": host, "path_prefix": q.prefix(), "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": q.Priority, "service": service, "max_attempts": q.MaxAttempts, "slack_factor": 2,
		}
		if q.Advice {
			route["recommendation"] = map[string]any{"decision_ms": q.decisionMS(), "per_worker_ms": q.perWorkerMS(), "validity_ms": adviceValidity.Milliseconds()}
		}
		routes = append(routes, route)
		names = append(names, q.Name)
	}
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": service, "admission_check": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.rec.logf("operator: configuration version %d with the queues %v is acknowledged", w.version, names)
}

// The names of the service and of the clients' host.
const (
	service = "huvo11a"
	host    = "nony24.example"
)

func (w *world) addRunner(id string, labels []string, c capacity) (*runner, error) {
	r := &runner{w: w, id: id, addr: "127.0.0.1:0", service: service, labels: labels, cap: c}
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	return r, r.start()
}

func (w *world) runner(id string) *runner {
	for _, r := range w.runners {
		if r.id == id {
			return r
		}
	}
	return nil
}

// jobOf returns the job of a task and the number of the task's step.
func (w *world) jobOf(task string) (*job, int) {
	id, _, s, _, err := taskName(task)
	j := w.jobs[id]
	if err != nil || j == nil || s >= len(j.Steps) {
		return nil, 0
	}
	return j, s
}

// started notes a start.
func (w *world) started(x *run) {
	if n := x.job.failedNoted[x.task]; n >= x.job.queue.MaxAttempts {
		x.job.overBudget++
		w.rec.logf("runner %s starts %s/%d after %d runs that ended failed; the queue allows %d", x.runner.id, x.task, x.execution, n, x.job.queue.MaxAttempts)
	}
	x.job.starts++
	x.job.live++
	if x.job.liveBy == nil {
		x.job.liveBy = make(map[string]int)
	}
	x.job.liveBy[x.task]++
	if x.job.Steps[x.step].Gang {
		w.joinGang(x)
	}
	if w.onStart != nil {
		w.onStart(x)
	}
}

// members returns the runs of the gang attempt of a run.
func (w *world) members(x *run) []*run {
	var out []*run
	for _, r := range w.runners {
		for _, o := range r.runs {
			if o.execution == x.execution && o.group() == x.group() {
				out = append(out, o)
			}
		}
	}
	return out
}

// joinGang lets the members of a gang work from the moment when all are there.
func (w *world) joinGang(x *run) {
	members := w.members(x)
	st := x.job.Steps[x.step]
	if len(members) < st.Count {
		return
	}
	racks := make(map[string]bool)
	for _, m := range members {
		racks[m.runner.rack()] = true
	}
	for _, m := range members {
		m.works = time.Now()
		if st.SameRack && len(racks) > 1 {
			m.length = st.work * remoteSlow
		}
	}
}

// advance ends the runs that are due.
func (w *world) advance(now time.Time) {
	for _, r := range w.runners {
		if !r.up {
			continue
		}
		for _, x := range r.runs {
			st := x.job.Steps[x.step]
			switch {
			case r.clock(now) > r.holdEnd:
				w.finish(x, "lapsed")
			case x.works.IsZero() && now.Sub(x.begun) > gangTimeout:
				w.finish(x, "alone")
			case x.fails && now.Sub(x.begun) > min(x.length, 300*time.Millisecond):
				w.finish(x, "failed")
			case !x.works.IsZero() && !st.Lasting && now.Sub(x.works) >= x.length:
				w.finish(x, "done")
			}
		}
	}
}

// finish ends a run and the other members of its gang, and lists the end.
func (w *world) finish(x *run, how string) {
	r := x.runner
	if r.runs[x.task] != x {
		return
	}
	others := w.members(x)
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.execution)
	r.lastEnd++
	r.finished = append(r.finished, ended{number: r.lastEnd, task: x.task, execution: x.execution, how: how})
	w.rec.logf("runner %s: run %s/%d ends %s", r.id, x.task, x.execution, how)
	w.lost(x)
	_, _, s, index, _ := taskName(x.task)
	switch how {
	case "done":
		x.job.done[fmt.Sprintf("%d.%d", s, index)] = true
	case "failed":
		x.job.failed[x.task]++
	}
	if !x.job.Steps[x.step].Gang || how == "alone" {
		return
	}
	for _, o := range others {
		if o != x && how == "done" {
			w.finish(o, "done")
		} else if o != x && !o.works.IsZero() {
			w.finish(o, "broken")
		}
	}
}

// lost notes that a run is over.
func (w *world) lost(x *run) {
	x.job.live--
	x.job.liveBy[x.task]--
	x.job.lastEnd[x.task] = time.Now()
}

// noted notes that the system has taken note of an end.
func (w *world) noted(r *runner, e ended) {
	if j, _ := w.jobOf(e.task); j != nil && e.how == "failed" {
		j.failedNoted[e.task]++
	}
	w.rec.logf("runner %s: end %d of %s/%d (%s) is taken note of", r.id, e.number, e.task, e.execution, e.how)
}

// tick ends runs, writes the runners' entries and looks for jobs of which nothing runs.
func (w *world) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.onTick != nil {
		w.onTick()
	}
	for _, r := range w.runners {
		if r.up && now.Sub(r.lastBeat) >= heartbeat {
			r.beat(now)
		}
		if !r.up && !r.gone && now.Sub(r.lastBeat) >= 3*heartbeat {
			r.gone = true
			w.store.remove("servers/" + r.id)
			w.rec.logf("platform: the entry of runner %s is removed", r.id)
		}
		if r.up {
			r.gone = false
		}
	}
	for _, j := range w.order {
		if j.accepted.IsZero() || j.complete() || j.live > 0 || !w.roomTwice(j) {
			j.idleSince = time.Time{}
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince = now
		}
	}
}

// roomTwice reports whether a task's turn has come, there is room for it (for a gang, for all of
// it) twice over on runners that may run it, and under half of the capacity is in use.
func (w *world) roomTwice(j *job) bool {
	s, ok := j.turn()
	if !ok {
		return false
	}
	st := j.Steps[s]
	need := 2
	if st.Gang {
		need = 2 * st.Count
	}
	slots, used, total := 0, int64(0), int64(0)
	for _, r := range w.runners {
		if !r.up {
			continue
		}
		u := r.used()
		used += u.CPU
		total += r.cap.CPU
		if st.Label != "" && r.labels[0] != st.Label && r.labels[1] != st.Label {
			continue
		}
		cpu, memory := r.cap.CPU-u.CPU, r.cap.Memory-u.Memory
		for cpu >= st.CPU && memory >= st.Memory && slots < need {
			cpu -= st.CPU
			memory -= st.Memory
			slots++
		}
	}
	return slots >= need && 2*used < total
}

// idleFor returns for how long nothing of a job has run although it could.
func (w *world) idleFor(j *job) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.idleSince.IsZero() {
		return 0
	}
	return time.Since(j.idleSince)
}
