package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// decisionTime and timePerWorker are the advice.ms and advice.ms_a_worker of lettering-proof, ticketTime is its valid_ms.
	decisionTime, timePerWorker, ticketTime = 66 * time.Millisecond, 940 * time.Microsecond, 2 * time.Second
	// maxCalls is how many calls may wait.
	maxCalls = 32
)

// advisor is the service at recommendation, as PROTOCOL.md describes it. It approves all workers.
type advisor struct {
	mu      sync.Mutex
	waiting int
	// turn is held while a call is served. All VMs have one address here, so they count as one machine.
	turn sync.Mutex
}

// serveAdvice starts the advisor. It has to run before the VMs are added.
func (w *world) serveAdvice() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.advisorAddr = l.Addr().String()
	go func() { _ = http.Serve(l, &advisor{}) }()
	return nil
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if req.URL.Path != "/-/advise" || json.NewDecoder(req.Body).Decode(&call) != nil || strings.Count(call.Step, ".") != 2 || len(call.Workers) > 100 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxCalls {
		a.mu.Unlock()
		answer(w, http.StatusTooManyRequests, nil)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	time.Sleep(decisionTime + time.Duration(len(call.Workers))*timePerWorker)
	a.turn.Unlock()
	rows := make([][]any, 0, len(call.Workers))
	for _, id := range call.Workers {
		rows = append(rows, []any{id, fmt.Sprintf("t-%s-%s", call.Step, id)})
	}
	answer(w, http.StatusOK, map[string]any{"approved_workers": rows})
}

// advicePolicy is the recommendation of a queue.
func advicePolicy() map[string]any {
	return map[string]any{"decision_ms": 66, "per_worker_ms": 0.94, "validity_ms": ticketTime.Milliseconds()}
}
