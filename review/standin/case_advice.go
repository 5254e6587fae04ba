package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["advice"] = caseAdvice }

// caseAdvice: the operator removes a route with a recommendation and adds it again without one while
// the advisor works for it. The answer ends the process of the scheduler, or leaves it holding its lock
// for ever: then nothing is started any more.
func caseAdvice(w *world, trouble bool) (bool, error) {
	const (
		rounds    = 4
		planEvery = 200 * time.Millisecond
		plansFor  = 3 * time.Second
		gap       = 330 * time.Millisecond
	)
	plans := &queue{Name: "lohu930", MaxAttempts: 2, Priority: 1, Advice: true, DecisionMS: 520, PerWorkerMS: 7.4}
	checks := &queue{Name: "nima114", MaxAttempts: 3, Priority: 0, Advice: true}
	w.configure(plans, checks)
	if err := w.deployment(12, 6, 8); err != nil {
		return false, err
	}
	plan := step{Count: 2, CPU: 4000, Memory: 16384, EstimateMS: 1500, work: 1500 * time.Millisecond}
	check := step{Count: 1, CPU: 2800, Memory: 8000, EstimateMS: 1000, work: time.Second}
	n := 0
	next := func(q *queue, st step) *job {
		n++
		return &job{ID: fmt.Sprintf("5c0e7a21%08x", n), Spec: "a plan", queue: q, Steps: []step{st}}
	}
	for round := range rounds {
		w.rec.logf("round %d", round+1)
		var clients sync.WaitGroup
		for range int(plansFor / planEvery) {
			j := next(plans, plan)
			w.know(j)
			clients.Go(func() { w.submitOnce(j, n) })
			time.Sleep(planEvery)
		}
		if trouble {
			w.change(plans, checks, false, gap)
		}
		clients.Wait()
		time.Sleep(2 * time.Second)
		if err := w.restartEnded(); err != nil {
			return false, err
		}
		probe := next(checks, check)
		w.know(probe)
		accepted := false
		for try := 0; try < 4 && !accepted; try++ {
			accepted = w.submitOnce(probe, round+try)
		}
		if !accepted {
			return false, fmt.Errorf("the probe was not accepted")
		}
		if w.awaitLost(probe, time.Now(), 40*time.Second) {
			for _, v := range w.vms {
				w.call(v, http.MethodGet, checks.prefix()+probe.ID, nil)
			}
			return true, nil
		}
		if trouble {
			w.change(plans, checks, true, gap)
		}
	}
	return false, nil
}

// change removes the route of the first queue and adds it again with or without a recommendation.
func (w *world) change(q, other *queue, advice bool, gap time.Duration) {
	w.configure(other)
	time.Sleep(gap)
	w.mu.Lock()
	q.Advice = advice
	w.mu.Unlock()
	w.configure(q, other)
}

// restartEnded starts the processes again that have ended by themselves, as the platform does.
func (w *world) restartEnded() error {
	for _, v := range w.vms {
		select {
		case <-v.exited:
			w.rec.logf("the process of vm %s has ended by itself: %v", v.name, v.cmd.ProcessState)
			if err := v.start(); err != nil {
				return err
			}
		default:
		}
	}
	return w.awaitReady(10 * time.Second)
}

// submitOnce hands a job in at one VM and reports whether it was accepted.
func (w *world) submitOnce(j *job, n int) bool {
	body, err := json.Marshal(map[string]any{"specification": j.Spec, "steps": j.Steps})
	if err != nil {
		panic(err) // The fields are plain.
	}
	status, _ := w.call(w.vms[n%len(w.vms)], http.MethodPost, j.queue.prefix()+j.ID, body)
	if status < 200 || status >= 300 {
		return false
	}
	w.mu.Lock()
	j.accepted = time.Now()
	w.mu.Unlock()
	return true
}
