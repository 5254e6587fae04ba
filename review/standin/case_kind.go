package main

import (
	"fmt"
	"time"
)

func init() { cases["kind"] = caseKind }

// caseKind: workers crash and start again under their id as a smaller kind. The scheduler hears the
// new life of a worker before it reads its new entry, and starts work by the capacity of the old one.
func caseKind(w *world, trouble bool) (bool, error) {
	q := &queue{Name: "lohu930", MaxAttempts: 3, Priority: 1}
	w.configure(q)
	over := 0
	w.onStart = func(x *run) {
		if u := x.runner.used(); u.CPU > x.runner.cap.CPU {
			over++
			w.rec.logf("runner %s: the start of %s/%d brings it to %d of %d cpu", x.runner.id, x.task, x.execution, u.CPU, x.runner.cap.CPU)
		}
	}
	if err := w.deployment(8, 4, 4); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			// A step of 40 tasks of 2 s on 2 cores each, every 600 ms: more than 8 workers of 32 cores do.
			j := &job{ID: fmt.Sprintf("5c0e7a21%08x", i), Spec: "a proof", queue: q, Steps: []step{{Count: 40, CPU: 2000, Memory: 4096, EstimateMS: 2000, work: 2 * time.Second}}}
			if err := w.submit(j); err != nil {
				w.rec.logf("%v", err)
			}
			time.Sleep(600 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	for i := range 6 {
		r := w.runners[i]
		if trouble {
			r.crash()
			time.Sleep(3 * time.Second)
			r.w.mu.Lock()
			r.cap, r.labels = capacity{CPU: 16000, Memory: 65536}, []string{"b", r.labels[1]}
			r.w.mu.Unlock()
			if err := r.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.logf("%d starts brought a runner over its capacity", over)
	return over > 0, nil
}
