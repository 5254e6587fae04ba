package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// Durations of the advisor, as of the queue label-check of psalter-hq.
const (
	adviceDecisionMS  = 12
	advicePerWorkerMS = 0.17
	adviceValidity    = 2 * time.Second
)

type ticket struct {
	step  string
	id    string
	born  time.Time
	until time.Time
}

// approves reports whether the queue's policy allows a step to run on a worker; the answer never changes.
func (q *queue) approves(step, worker string) bool {
	if q.Good == 0 {
		return true
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(step + "@" + worker))
	return float64(h.Sum64()%1000) < 1000*q.Good
}

// advise answers POST /-/advise with the workers that the queue's policy allows.
func (w *world) advise(rw http.ResponseWriter, req *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	j, _ := w.jobOf(in.Step + ".0")
	w.mu.Unlock()
	if j == nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(j.queue.callTime(len(in.Workers)))
	rows := [][]string{}
	w.mu.Lock()
	now := time.Now()
	for _, id := range in.Workers {
		r := w.runner(id)
		if r == nil || !r.up || !j.queue.approves(in.Step, id) {
			continue
		}
		name := fmt.Sprintf("t%d", len(w.tickets))
		w.tickets[name] = ticket{step: in.Step, id: id, born: r.born, until: now.Add(adviceValidity)}
		rows = append(rows, []string{id, name})
	}
	w.rec.logf("advisor approves %d of %d workers for %s", len(rows), len(in.Workers), in.Step)
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"approved_workers": rows})
}

func (w *world) ticketValid(now time.Time, r *runner, o order) bool {
	t, ok := w.tickets[o.Ticket]
	x := run{task: o.Task}
	return ok && t.step == x.group() && t.id == r.id && t.born.Equal(r.born) && !now.After(t.until)
}
