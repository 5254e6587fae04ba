package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Bounds of the deployment, as in the settings file of psalter-hq.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	gangTimeout = 3 * time.Second
	remoteSlow  = 3
)

type capacity struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"requested_memory_mb"`
	GPUs   int64 `json:"gpus"`
}

type run struct {
	task      string
	execution int64
	job       *job
	step      int
	begun     time.Time
	// works is when the run began to work; zero for a member of a gang that waits.
	works  time.Time
	length time.Duration
	fails  bool
	runner *runner
}

func (r *run) group() string { return r.task[:strings.LastIndexByte(r.task, '.')] }

type ended struct {
	number    int64
	task      string
	execution int64
	how       string
}

// runner is one runner of the service. The world's lock guards it.
type runner struct {
	w       *world
	id      string
	addr    string
	service string
	labels  []string
	cap     capacity
	server  *http.Server
	// up tells whether the process runs.
	up       bool
	gone     bool
	born     time.Time
	token    int64
	holdEnd  time.Duration
	runs     map[string]*run
	finished []ended
	lastEnd  int64
	highest  map[string]int64
	lastBeat time.Time
	sequence int64
	// failsUntil is the time until which the runner fails all that it starts.
	failsUntil time.Time
}

// start starts the process of a runner: a new life, which knows nothing of the one before.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.addr = l.Addr().String()
	r.up, r.born, r.token, r.holdEnd = true, time.Now(), 0, 0
	r.runs, r.finished, r.lastEnd, r.highest = make(map[string]*run), nil, 0, make(map[string]int64)
	r.sequence = 0
	r.server = &http.Server{Handler: r}
	server := r.server
	go func() { _ = server.Serve(l) }()
	r.beat(time.Now())
	r.w.rec.logf("runner %s starts: born %d, %d cpu, labels %v", r.id, r.born.UnixMilli(), r.cap.CPU, r.labels)
	return nil
}

// crash ends the process: what runs there ends, and connections are closed.
func (r *runner) crash() {
	r.w.mu.Lock()
	r.up = false
	for _, x := range r.runs {
		r.w.rec.logf("runner %s crashes: run %s/%d ends with it", r.id, x.task, x.execution)
		r.w.lost(x)
	}
	r.runs = make(map[string]*run)
	server := r.server
	r.w.mu.Unlock()
	_ = server.Close()
	r.w.rec.logf("runner %s is down", r.id)
}

// beat writes the runner's entry.
func (r *runner) beat(now time.Time) {
	r.sequence++
	r.lastBeat = now
	r.w.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": "regina", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": r.cap, "labels": r.labels, "clock_ms": r.clock(now).Milliseconds(),
		"born": r.born.UnixMilli(), "sequence": r.sequence,
	})
}

func (r *runner) clock(now time.Time) time.Duration { return now.Sub(r.born) }

func (r *runner) rack() string { return r.labels[1] }

// used returns the sum of what runs there.
func (r *runner) used() capacity {
	var u capacity
	for _, x := range r.runs {
		st := x.job.Steps[x.step]
		u.CPU += st.CPU
		u.Memory += st.Memory
	}
	return u
}

type order struct {
	Task          string `json:"task"`
	Execution     int64  `json:"execution"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	WaitMS        int64  `json:"wait_ms"`
	Ticket        string `json:"ticket"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get("Expected-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := r.execute(req.URL.Path, o)
	if req.URL.Path == "/-/hold" && status == http.StatusOK && o.WaitMS > 0 {
		until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
		r.w.mu.Lock()
		life := r.born
		r.w.mu.Unlock()
		for {
			r.w.mu.Lock()
			ready := len(r.finished) > 0 || !time.Now().Before(until)
			same := r.up && r.born.Equal(life)
			r.w.mu.Unlock()
			if !same {
				panic(http.ErrAbortHandler)
			}
			if ready {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		r.w.mu.Lock()
		body = r.lists(time.Now())
		r.w.mu.Unlock()
	}
	reply(w, status, body)
}

func (r *runner) refuse(now time.Time, reason string) (int, any) {
	return http.StatusConflict, map[string]any{"clock_ms": r.clock(now).Milliseconds(), "reason": reason}
}

func (r *runner) execute(path string, o order) (int, any) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	now := time.Now()
	r.w.advance(now)
	if o.Token < r.token {
		return r.refuse(now, "fence")
	}
	r.token = o.Token
	end := min(time.Duration(o.DeadlineMS)*time.Millisecond, r.clock(now)+maxHold)
	if path == "/-/run-start" && end <= r.clock(now) {
		return r.refuse(now, "late")
	}
	r.holdEnd = max(r.holdEnd, end)
	switch path {
	case "/-/run-start":
		return r.startRun(now, o)
	case "/-/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Execution)
		if x := r.runs[o.Task]; x != nil && x.execution <= o.Execution {
			r.w.finish(x, "stopped")
		}
		return http.StatusOK, map[string]any{"clock_ms": r.clock(now).Milliseconds()}
	case "/-/pace":
		return http.StatusOK, map[string]any{"clock_ms": r.clock(now).Milliseconds()}
	case "/-/hold":
		for len(r.finished) > 0 && r.finished[0].number <= o.LastSeen {
			r.w.noted(r, r.finished[0])
			r.finished = r.finished[1:]
		}
		return http.StatusOK, r.lists(now)
	}
	return http.StatusNotFound, map[string]any{}
}

func (r *runner) startRun(now time.Time, o order) (int, any) {
	if x := r.runs[o.Task]; x != nil && x.execution == o.Execution {
		return http.StatusOK, map[string]any{"clock_ms": r.clock(now).Milliseconds()}
	}
	if o.Execution <= r.highest[o.Task] || r.runs[o.Task] != nil {
		return r.refuse(now, "old")
	}
	j, step := r.w.jobOf(o.Task)
	if j == nil {
		r.w.rec.logf("runner %s is told to start %s, which nobody sent", r.id, o.Task)
		return http.StatusBadRequest, map[string]any{}
	}
	if j.queue.Advice && !r.w.ticketValid(now, r, o) {
		r.w.rec.logf("runner %s refuses %s/%d: ticket %q is not valid", r.id, o.Task, o.Execution, o.Ticket)
		return r.refuse(now, "ticket")
	}
	st := j.Steps[step]
	x := &run{task: o.Task, execution: o.Execution, job: j, step: step, begun: now, length: st.work, runner: r, fails: now.Before(r.failsUntil) || (j.hopeless && step == 1)}
	if !st.Gang {
		x.works = now
	}
	r.runs[o.Task] = x
	r.w.rec.logf("runner %s starts %s/%d (token %d)", r.id, o.Task, o.Execution, o.Token)
	r.w.started(x)
	return http.StatusOK, map[string]any{"clock_ms": r.clock(now).Milliseconds()}
}

// lists returns the answer to a hold.
func (r *runner) lists(now time.Time) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.runs {
		percent := 0
		if !x.works.IsZero() {
			percent = int(100 * float64(now.Sub(x.works)) / float64(x.length))
		}
		running = append(running, []any{x.task, x.execution, "", min(percent, 100), x.job.Steps[x.step].CPU})
	}
	for _, e := range r.finished {
		finished = append(finished, []any{e.number, e.task, e.execution, e.how, ""})
	}
	return map[string]any{"clock_ms": r.clock(now).Milliseconds(), "born": r.born.UnixMilli(), "running": running, "finished": finished}
}

// taskName splits ID.K.STEP.INDEX.
func taskName(task string) (id string, occurrence, step, index int, err error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, fmt.Errorf("task %q", task)
	}
	_, err = fmt.Sscanf(parts[1]+" "+parts[2]+" "+parts[3], "%d %d %d", &occurrence, &step, &index)
	return parts[0], occurrence, step, index, err
}
