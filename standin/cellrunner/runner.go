// Package cellrunner simulates the runners of a cell for tests. Its runners start and stop
// runs, keep them under leases and fencing tokens, and report how they ended. The package
// checks the invariants that must hold across all runners.
package cellrunner

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"rhubarbstall.example/standin/memnet"
)

// Runner is an http.Handler that simulates one runner.
type Runner struct {
	ID string
	// Kind and Rack are the labels of the runner; "a" and "r1" if empty.
	Kind, Rack string
	// Size is what the runner holds; that of its fleet if zero.
	Size  Size
	fleet *Fleet

	startedAt        time.Time
	runs             map[string]*run
	finished         []end
	lastSequence     int64
	fencingToken     int64
	leaseEnd         time.Time
	highestExecution map[string]int64
	// delayed holds the calls that got no answer and are executed later.
	delayed map[*delayedCall]bool
	// removed tells that the runner is gone for good.
	removed bool
}

// maxRunLease is the longest lease that an order can give.
const maxRunLease = 6 * time.Second

// minCallDelay and MaxCallDelay bound how much later a delayed call is executed.
const (
	minCallDelay = 2 * time.Second
	MaxCallDelay = 12 * time.Second
)

type order struct {
	Task           string `json:"task"`
	Execution      int64  `json:"execution"`
	LeaseEndMillis int64  `json:"deadline_ms"`
	FencingToken   int64  `json:"fencing_token"`
	LastSeen       int64  `json:"last_seen"`
	WaitMillis     int64  `json:"wait_ms"`
	Ticket         string `json:"ticket"`
	Payload        string `json:"specification"`
	Checkpoint     string `json:"checkpoint"`
}

func (r *Runner) kind() string { return cmp.Or(r.Kind, "a") }
func (r *Runner) rack() string { return cmp.Or(r.Rack, "r1") }
func (r *Runner) size() Size   { return cmp.Or(r.Size, r.fleet.size) }

func (r *Runner) uptimeMillis(now time.Time) int64 { return now.Sub(r.startedAt).Milliseconds() }

func (r *Runner) response(now time.Time) map[string]any {
	return map[string]any{"clock_ms": r.uptimeMillis(now)}
}

func (r *Runner) refuse(now time.Time, reason string) (int, any) {
	a := r.response(now)
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
	loseResponse, delayOrder := f.chance(f.faults.LostResponseRate), f.chance(f.faults.DelayRate)
	delay := minCallDelay + time.Duration(f.random.Int64N(int64(MaxCallDelay-minCallDelay)))
	f.mu.Unlock()
	if delayOrder {
		r.delay(delay, req.URL.Path, o)
		hangUntilDisconnect(req)
	}
	status, body := r.execute(req.URL.Path, o)
	if req.URL.Path == "/-/hold" && status == http.StatusOK && o.WaitMillis > 0 {
		status, body = r.waitForEnd(req, o)
	}
	if loseResponse {
		hangUntilDisconnect(req)
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // The bodies are fixed types.
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// hangUntilDisconnect sends no response and aborts the connection once the client has
// closed it.
func hangUntilDisconnect(req *http.Request) {
	// The server notices a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

// waitForEnd answers a hold order with a wait: it responds once a run has ended that the
// caller has not seen, or after the wait.
func (r *Runner) waitForEnd(req *http.Request, o order) (int, any) {
	until := time.Now().Add(time.Duration(o.WaitMillis) * time.Millisecond)
	r.fleet.mu.Lock()
	incarnation := r.startedAt
	r.fleet.mu.Unlock()
	for {
		r.fleet.mu.Lock()
		if !r.startedAt.Equal(incarnation) {
			// A crashed runner drops its connections.
			r.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		r.advance(time.Now())
		ready := len(r.finished) > 0 && r.finished[len(r.finished)-1].sequence > o.LastSeen
		r.fleet.mu.Unlock()
		if ready || !time.Now().Before(until) {
			// The lease was renewed and the ends were acknowledged when the call arrived.
			o.LeaseEndMillis, o.LastSeen = 0, 0
			return r.execute("/-/hold", o)
		}
		t := time.NewTimer(20 * time.Millisecond)
		select {
		case <-t.C:
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// execute executes an order after it has advanced all runners to the current time.
func (r *Runner) execute(path string, o order) (int, any) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, other := range f.runners {
		other.advance(now)
	}
	if r.hasSeenHigherToken(o) {
		return r.refuse(now, "fence")
	}
	r.fencingToken = o.FencingToken
	if o.LeaseEndMillis > 0 {
		until := r.startedAt.Add(time.Duration(o.LeaseEndMillis) * time.Millisecond)
		if limit := now.Add(maxRunLease); until.After(limit) {
			until = limit
		}
		if path == "/-/run-start" && !until.After(now) {
			return r.refuse(now, "late")
		}
		if until.After(r.leaseEnd) {
			r.leaseEnd = until
		}
	}
	switch path {
	case "/-/run-start":
		return r.start(now, o)
	case "/-/run-stop":
		return r.stop(now, o)
	}
	return r.reportRuns(now, o)
}

func (r *Runner) hasSeenHigherToken(o order) bool { return o.FencingToken < r.fencingToken }

// knowsLaterExecution reports whether the execution of a start order, or a later one, was stopped or has ended here.
func (r *Runner) knowsLaterExecution(o order) bool { return o.Execution <= r.highestExecution[o.Task] }

func (r *Runner) start(now time.Time, o order) (int, any) {
	if x := r.runs[o.Task]; x != nil && x.execution == o.Execution {
		return http.StatusOK, r.response(now)
	}
	if r.knowsLaterExecution(o) || r.runs[o.Task] != nil {
		return r.refuse(now, "old")
	}
	if !r.fleet.hasValidTicket(now, r, o) {
		return r.refuse(now, "ticket")
	}
	size, work := r.fleet.task(o.Task)
	x := &run{task: o.Task, execution: o.Execution, size: size, startedAt: now, checkpoint: o.Checkpoint, payload: o.Payload}
	if r.fleet.traits != nil {
		x.traits = r.fleet.traits(o.Task)
	}
	if x.traits.Lasting {
		work = unlimited
	}
	if r.slowed(x.traits) {
		work *= 2
	}
	x.work = work
	left := max(0, work-checkpointWork(x.checkpoint))
	x.endsAt = now.Add(left)
	r.runs[o.Task] = x
	r.fleet.runStarted(r, x)
	r.fleet.joinGang(now, r, x, left)
	return http.StatusOK, r.response(now)
}

func (r *Runner) stop(now time.Time, o order) (int, any) {
	r.highestExecution[o.Task] = max(r.highestExecution[o.Task], o.Execution)
	if x := r.runs[o.Task]; x != nil && x.execution <= o.Execution {
		r.finish(x, "stopped")
	}
	return http.StatusOK, r.response(now)
}

// reportRuns drops the ends up to LastSeen, which the scheduler has seen, and returns the
// current runs and the remaining ends.
func (r *Runner) reportRuns(now time.Time, o order) (int, any) {
	for len(r.finished) > 0 && r.finished[0].sequence <= o.LastSeen {
		r.fleet.acknowledge(r, r.finished[0])
		r.finished = r.finished[1:]
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.runs {
		// A row holds the task, the execution, the checkpoint, the progress in percent and
		// the milli-CPU in use.
		running = append(running, []any{x.task, x.execution, x.saved(now, false), x.progress(now), 100})
	}
	for _, e := range r.finished {
		finished = append(finished, []any{e.sequence, e.task, e.execution, e.result, e.saved})
	}
	a := r.response(now)
	a["running"], a["finished"], a["born"] = running, finished, r.startedAt.UnixMilli()
	return http.StatusOK, a
}

// advance ends the runs that are due and those whose lease has lapsed.
func (r *Runner) advance(now time.Time) {
	if now.After(r.leaseEnd) {
		for i := range r.finished {
			r.finished[i].leaseLapsed = true
		}
	}
	for _, x := range r.runs {
		switch {
		case now.After(r.leaseEnd) && (!x.working() || x.endsAt.After(r.leaseEnd)):
			r.finish(x, "lapsed")
		case !x.working():
			if now.Sub(x.startedAt) >= gangTimeout {
				r.finish(x, "alone")
			}
		case !now.Before(x.endsAt):
			switch {
			case x.traits.Poisoned || r.fleet.chance(r.fleet.faults.RunFailureRate):
				r.finish(x, "failed")
			case x.gang != nil:
				r.fleet.finishGang(x)
			default:
				r.finish(x, "done")
			}
		}
	}
}

// finish ends a run and keeps its end until the scheduler acknowledges it.
func (r *Runner) finish(x *run, result string) {
	delete(r.runs, x.task)
	r.highestExecution[x.task] = max(r.highestExecution[x.task], x.execution)
	r.lastSequence++
	now, saved := time.Now(), ""
	if result != "done" {
		saved = x.saved(now, result == "stopped")
	}
	r.finished = append(r.finished, end{sequence: r.lastSequence, task: x.task, execution: x.execution, result: result, saved: saved, at: now})
	r.fleet.runEnded(r, x, result)
	if x.gang != nil && result != "done" {
		r.fleet.breakGang(x)
	}
}
