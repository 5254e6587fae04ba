package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["route"] = caseRoute }

// caseRoute: the operator removes two routes that have an accepted job each, and the VM of the scheduler
// is stopped and started again. The second step of the one job never starts: its orders carry no ticket.
// That of the other, which can't be done, is started more often than its queue allows.
func caseRoute(w *world, trouble bool) (bool, error) {
	q := &queue{Name: "lohu930", MaxAttempts: 3, Priority: 1, Advice: true}
	once := &queue{Name: "volu884", MaxAttempts: 1, Priority: 1}
	other := &queue{Name: "nima114", MaxAttempts: 3, Priority: 1, Advice: true}
	w.configure(q, once, other)
	if err := w.deployment(12, 6, 4); err != nil {
		return false, err
	}
	task := step{Count: 2, CPU: 2000, Memory: 4096, EstimateMS: 1000, work: time.Second}
	first, second := task, task
	first.EstimateMS, first.work, second.After = 7000, 7*time.Second, []int{0}
	j := &job{ID: "5c0e7a21d94b36f8", Spec: "a plan", queue: q, Steps: []step{first, second}}
	if err := w.submit(j); err != nil {
		return false, err
	}
	beside := &job{ID: "5c0e7a21d94b36f9", Spec: "a proof", queue: other, Steps: []step{first, second}}
	if err := w.submit(beside); err != nil {
		return false, err
	}
	// One job of twenty of the queue can't be done.
	for i := range 19 {
		j := &job{ID: fmt.Sprintf("5c0e7a22%08x", i), Spec: "a proof", queue: once, Steps: []step{task}}
		if err := w.submit(j); err != nil {
			return false, err
		}
	}
	hopeless := &job{ID: "5c0e7a21d94b36fa", Spec: "a proof that can't be done", queue: once, Steps: []step{first, second}, hopeless: true}
	if err := w.submit(hopeless); err != nil {
		return false, err
	}
	end := time.Now()
	time.Sleep(time.Second)
	if trouble {
		w.configure(other)
		time.Sleep(2 * time.Second)
		if v := w.leader(); v != nil {
			v.stop(syscall.SIGTERM)
			if err := v.start(); err != nil {
				return false, err
			}
		}
	}
	broken := w.awaitLost(j, end, 45*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.logf("job %s of the other removed route: %d starts after the one attempt that its queue allows", hopeless.ID, hopeless.overBudget)
	w.rec.logf("job %s of the removed route: complete %v, %d starts", j.ID, j.complete(), j.starts)
	w.rec.logf("job %s of the other route: complete %v, %d starts", beside.ID, beside.complete(), beside.starts)
	return broken || hopeless.overBudget > 0, nil
}
