package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The service at `recommendation`, by PROTOCOL.md: it answers after decision_ms and per_worker_ms for each runner
// named, one call after the other for each calling machine, and knows which runners may run a step. That never changes.

const (
	adviceBase     = 50 * time.Millisecond
	advicePerNamed = time.Millisecond
	adviceValidity = 1500 * time.Millisecond
)

type ticket struct {
	step, runner string
	until        time.Time
}

// advisor holds the tickets; it may be served at several addresses in turn.
type advisor struct {
	mu      sync.Mutex
	tickets map[string]ticket
	callers map[string]*sync.Mutex
	calls   int
	server  *http.Server
	addr    string
}

func newAdvisor() *advisor {
	return &advisor{tickets: make(map[string]ticket), callers: make(map[string]*sync.Mutex)}
}

// serve begins to serve at a free address, and ends the service at the one before.
func (a *advisor) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if a.server != nil {
		_ = a.server.Close()
	}
	a.addr = l.Addr().String()
	a.server = &http.Server{Handler: a}
	go func(s *http.Server) { _ = s.Serve(l) }(a.server)
	return nil
}

// mayRun reports whether a step may run on a runner: on seven of ten.
func mayRun(step, runner string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + "/" + runner))
	return h.Sum32()%10 < 7
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/-/advise" || json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	if a.callers[caller] == nil {
		a.callers[caller] = new(sync.Mutex)
	}
	turn := a.callers[caller]
	a.calls++
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(adviceBase + time.Duration(len(in.Workers))*advicePerNamed)
	turn.Unlock()
	approved := [][]string{}
	a.mu.Lock()
	for _, id := range in.Workers {
		if mayRun(in.Step, id) {
			name := fmt.Sprintf("t%d", len(a.tickets))
			a.tickets[name] = ticket{in.Step, id, time.Now().Add(adviceValidity)}
			approved = append(approved, []string{id, name})
		}
	}
	a.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"approved_workers": approved})
}

// valid reports whether a ticket lets a task start on a runner now.
func (a *advisor) valid(name, task, runner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[name]
	return ok && t.runner == runner && t.step == task[:strings.LastIndexByte(task, '.')] && time.Now().Before(t.until)
}

func (a *advisor) callCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}
