package main

import (
	"syscall"
	"time"
)

func init() { cases["route"] = caseRoute }

// caseRoute: the operator removes a route that has an accepted job, and the VM of the scheduler is
// stopped and started again. The second step of the job never starts: its orders carry no ticket.
func caseRoute(w *world, trouble bool) (bool, error) {
	q := &queue{Name: "lohu930", MaxAttempts: 3, Priority: 1, Advice: true}
	other := &queue{Name: "nima114", MaxAttempts: 3, Priority: 1, Advice: true}
	w.configure(q, other)
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
	w.rec.logf("job %s of the removed route: complete %v, %d starts", j.ID, j.complete(), j.starts)
	w.rec.logf("job %s of the other route: complete %v, %d starts", beside.ID, beside.complete(), beside.starts)
	w.mu.Unlock()
	return broken, nil
}
