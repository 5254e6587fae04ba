package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	service = "workorders"
	host    = "nony24.example"
	// plans and proofs are the prefixes of two queues, with the policies of restoration-plan and lettering-proof.
	plans  = "/lohu930/"
	proofs = "/kesi215/"
	// remoteFactor is bounds.remote_factor.
	remoteFactor = 3
	// finishTime is bounds.finish_s.
	finishTime = 14 * time.Second
)

var zones = []string{"regina", "saskatoon", "winnipeg", "calgary"}

// world is a small deployment: store, runners, VMs and clients.
type world struct {
	rec         *record
	dir, daemon string
	storeAddr   string
	// advisorAddr is the address of the service at recommendation; empty if the deployment has none.
	advisorAddr string
	store       *store
	nextPort    int
	vms         []*vm

	mu      sync.Mutex
	runners []*runner
	jobs    map[string]*job
	// prefixes holds the prefix of the queue of each job.
	prefixes map[string]string
	gangs    map[string]*gang
	// done holds the tasks that have ended done.
	done map[string]bool
	// late decides how much later a call is carried out; nil for never.
	late func(r *runner, path string, o *order) time.Duration
}

func newWorld(rec *record, dir, daemon string) (*world, error) {
	w := &world{rec: rec, dir: dir, daemon: daemon, store: newStore(), nextPort: firstPort(), jobs: make(map[string]*job), prefixes: make(map[string]string), gangs: make(map[string]*gang), done: make(map[string]bool)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	go w.advance()
	return w, nil
}

// configure writes the operator's configuration with both queues. The queue proofs has the policy for advice, if one is given.
func (w *world) configure(version int, advice ...map[string]any) {
	routes := []map[string]any{
		{"name": "lohu", "host": host, "path_prefix": plans, "service": service, "timeout_ms": 5000, "priority": 1, "max_attempts": 2, "slack_factor": 2.2, "target_latency_ms": 1000},
		{"name": "kesi", "host": host, "path_prefix": proofs, "service": service, "timeout_ms": 5000, "priority": 2, "max_attempts": 3, "slack_factor": 4, "target_latency_ms": 3000},
	}
	for _, a := range advice {
		routes[1]["recommendation"] = a
	}
	value, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": service, "admission_check": false}},
		"limits":   map[string]any{"body_bytes": 262144},
	})
	if err != nil {
		panic(err) // The fields are fixed types.
	}
	w.store.put("op/config", value)
}

// advance advances the runs on all runners.
func (w *world) advance() {
	last := time.Now()
	for {
		time.Sleep(advanceInterval)
		now := time.Now()
		w.mu.Lock()
		for _, r := range w.runners {
			if r.up {
				r.advance(now, now.Sub(last))
			}
		}
		w.mu.Unlock()
		last = now
	}
}

func (w *world) lateness(r *runner, path string, o *order) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late == nil {
		return 0
	}
	return w.late(r, path, o)
}

// stepOf returns the step of a task that a client has sent; nil if none has.
func (w *world) stepOf(t taskName) *step {
	j := w.jobs[t.id]
	if j == nil || t.occurrence != 0 || t.step < 0 || t.step >= len(j.Steps) || t.index < 0 || t.index >= j.Steps[t.step].Count {
		return nil
	}
	return &j.Steps[t.step]
}

// checkStart checks LIMIT, ROUTE and TWICE at a start.
func (w *world) checkStart(r *runner, x *run) {
	var used size
	same := 0
	for _, y := range r.runs {
		used = used.add(y.size)
		if y.step == x.step {
			same++
		}
	}
	if !used.fits(r.capacity) {
		w.rec.violate("LIMIT: %s on %s brings it to %+v of %+v", x.task, r.id, used, r.capacity)
	}
	if x.step.Label != "" && x.step.Label != r.kind && x.step.Label != r.rack {
		w.rec.violate("ROUTE: %s on %s, which lacks the label %s", x.task, r.id, x.step.Label)
	}
	if x.step.PerRunner > 0 && same > x.step.PerRunner {
		w.rec.violate("ROUTE: %d tasks of the step of %s on %s", same, x.task, r.id)
	}
	for _, other := range w.runners {
		if y := other.runs[x.task.String()]; other.up && other != r && y != nil {
			w.rec.violate("TWICE: %s runs on %s and on %s", x.task, other.id, r.id)
		}
	}
	if w.done[x.task.String()] && !x.step.Lasting {
		w.rec.logf("run %s#%d starts although an earlier run has ended done", x.task, x.execution)
	}
}

// awaitReady waits until all VMs are ready.
func (w *world) awaitReady(limit time.Duration) error {
	return w.await(limit, "the VMs are ready", func() bool {
		for _, v := range w.vms {
			if !v.isReady() {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func (w *world) await(limit time.Duration, what string, holds func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			w.rec.logf("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// runsOf returns the runners on which tasks of a job run, by task.
func (w *world) runsOf(id string) map[string]*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]*runner)
	for _, r := range w.runners {
		for name := range r.runs {
			if strings.HasPrefix(name, id+".") {
				out[name] = r
			}
		}
	}
	return out
}

// call makes a client's request at a VM.
func (w *world) call(v *vm, method, path string, body []byte) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// submit sends a job, at the next VM again after an answer that is not 2xx.
func (w *world) submit(prefix, id string, j *job) error {
	for i := range j.Steps {
		j.Steps[i].work = max(j.Steps[i].work, time.Duration(j.Steps[i].EstimatedMS)*time.Millisecond)
	}
	w.mu.Lock()
	w.jobs[id], w.prefixes[id] = j, prefix
	w.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		return err
	}
	for try := range 5 {
		v := w.vms[try%len(w.vms)]
		status, _, err := w.call(v, http.MethodPost, prefix+id, body)
		w.rec.logf("POST %s%s at %s: %d %v; %.600s", prefix, id, v.name, status, err, body)
		if err == nil && status/100 == 2 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("job " + id + " was not accepted")
}

// state asks a VM for the state of a job.
func (w *world) state(v *vm, id string) string {
	w.mu.Lock()
	prefix := w.prefixes[id]
	w.mu.Unlock()
	status, body, err := w.call(v, http.MethodGet, prefix+id, nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", status, body)
}

// close ends all processes.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
}
