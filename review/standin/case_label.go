package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["label"] = caseLabel }

// deployment starts n runners of kind a in racks of perRack, and the VMs.
func (w *world) deployment(n, perRack, vms int) error {
	for i := range n {
		id := fmt.Sprintf("i-%08x", 0x7f3a9100+i)
		labels := []string{"a", fmt.Sprintf("r1-%d", i/perRack)}
		if _, err := w.addRunner(id, labels, capacity{CPU: 32000, Memory: 131072}); err != nil {
			return err
		}
	}
	return w.startVMs(vms)
}

func (w *world) startVMs(n int) error {
	w.vms = make([]*vm, n)
	errs := make([]error, n)
	var starts sync.WaitGroup
	for i := range n {
		starts.Go(func() { w.vms[i], errs[i] = w.addVM(fmt.Sprintf("frontend-regina-%d", i+1)) })
	}
	starts.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(4 * time.Second)
	return nil
}

// awaitLost waits until nothing of a job has run for idleSpan, later than finish after the end of
// the traffic, although it could; false if the job completes or the time is over.
func (w *world) awaitLost(j *job, trafficEnd time.Time, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		w.mu.Lock()
		complete := j.complete()
		w.mu.Unlock()
		if complete {
			w.rec.logf("job %s: all tasks have ended done", j.ID)
			return false
		}
		late := time.Since(trafficEnd) - finish
		if idle := min(w.idleFor(j), late); idle >= idleSpan {
			w.rec.logf("job %s: for %v, later than %v after the end of the traffic, nothing runs although a task's turn has come and there is room for it twice over",
				j.ID, idle.Round(time.Millisecond), finish)
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// caseLabel: the only worker with a label fails what it starts for a moment. The task that needs
// the label has attempts left, but is never started again.
func caseLabel(w *world, trouble bool) (bool, error) {
	q := &queue{Name: "lohu930", MaxAttempts: 3, Priority: 1}
	w.configure(q)
	for i := range 12 {
		kind := "a"
		if i == 4 {
			kind = "b"
		}
		if _, err := w.addRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+i), []string{kind, fmt.Sprintf("r1-%d", i/6)}, capacity{CPU: 32000, Memory: 131072}); err != nil {
			return false, err
		}
	}
	if err := w.startVMs(4); err != nil {
		return false, err
	}
	if trouble {
		w.mu.Lock()
		w.runners[4].failsUntil = time.Now().Add(1500 * time.Millisecond)
		w.mu.Unlock()
		w.rec.logf("worker %s fails all that it starts, for 1.5 s", w.runners[4].id)
	}
	j := &job{ID: "5c0e7a21d94b36f8", Spec: "a plan", queue: q, Steps: []step{{Count: 1, CPU: 2000, Memory: 4096, EstimateMS: 1000, Label: "b", work: time.Second}}}
	if err := w.submit(j); err != nil {
		return false, err
	}
	end := time.Now()
	broken := w.awaitLost(j, end, 40*time.Second)
	w.call(w.vms[0], "GET", q.prefix()+j.ID, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.logf("job %s: %d starts, failed runs %v of at most %d", j.ID, j.starts, j.failed, q.MaxAttempts)
	return broken, nil
}
