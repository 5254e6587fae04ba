package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["15"] = latePace }

const (
	counterID = "5c0e7a21d94b3651"
	fillID    = "5c0e7a21d94b3652"
	targetMS  = 100
	// fillMS is by how much a task that fills, at its full pace, lengthens the tail of the task that serves beside it.
	fillMS = 40
	// lateBy is how much later the order is carried out; 2 to 12 s are allowed.
	lateBy = 10 * time.Second
	// impactTime is bounds.impact_ms, contactTime bounds.contact_timeout_ms.
	impactTime, contactTime = 4 * time.Second, 3 * time.Second
)

// latePace: one order that raises the pace of a task that fills gets no answer and is carried out late, after newer orders. The task
// then disturbs a task that serves for good.
func latePace(w *world, trouble bool) error {
	for i := range rackSize {
		if _, err := w.addRunner(fmt.Sprintf("w-%02d", i), zones[i%len(zones)], "a", "r1-0", size{CPU: 32000, Memory: 131072}); err != nil {
			return err
		}
	}
	// own is the tail of a task that serves without tasks that fill, which its traffic changes.
	var own atomic.Int64
	own.Store(70)
	w.tail = func(r *runner, _ *run) int {
		tail := int(own.Load())
		for _, x := range r.runs {
			if x.step.Filling {
				tail += fillMS * x.pace / 100
			}
		}
		return tail
	}
	var lateAt atomic.Int64
	w.late = func(_ *runner, path string, o *order) time.Duration {
		if trouble && path == "/-/pace" && o.Percentage == 20 && lateAt.CompareAndSwap(0, time.Now().Add(lateBy).UnixNano()) {
			return lateBy
		}
		return 0
	}
	w.configure(7)
	for i, zone := range zones[:3] {
		if _, err := w.addVM(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone); err != nil {
			return err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	workers := len(w.runners)
	if err := w.submit(plans, counterID, &job{Specification: "counter service", Steps: []step{
		{Count: workers, CPU: 4000, Memory: 8000, EstimatedMS: 1000, Lasting: true, PerRunner: 1, Image: "counter", TargetMS: targetMS},
	}}); err != nil {
		return err
	}
	if err := w.await(settled, "a task serves on each worker", func() bool { return len(w.runsOf(counterID)) == workers }); err != nil {
		return err
	}
	if err := w.submit(proofs, fillID, &job{Specification: "proofs", Steps: []step{
		{Count: 1, CPU: 8000, Memory: 8000, EstimatedMS: 200000, Filling: true, Image: "proof"},
	}}); err != nil {
		return err
	}
	var beside *runner
	fill := func(pace int) func() bool {
		return func() bool {
			for _, beside = range w.runsOf(fillID) {
				return w.paceOn(beside) == pace
			}
			return false
		}
	}
	// The own tail of 70 ms and the task that fills are too much, so it is paced to 0. Then the traffic falls.
	if err := w.await(settled, "the task that fills is paced to 0", fill(0)); err != nil {
		return err
	}
	own.Store(30)
	w.rec.logf("the traffic of the tasks that serve falls: own tail 30 ms of %d ms", targetMS)
	if err := w.await(settled, "the task that fills is paced to 60", fill(60)); err != nil {
		return err
	}
	own.Store(95)
	w.rec.logf("the traffic of the tasks that serve rises: own tail 95 ms of %d ms", targetMS)
	if err := w.await(settled, "the task that fills is paced to 0", fill(0)); err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Until(time.Unix(0, lateAt.Load())) + 50*time.Millisecond)
	}
	// What is counted begins contact_timeout_ms after the late order was carried out.
	time.Sleep(contactTime)
	begin := time.Now()
	var over, longest time.Duration
	for last := begin; time.Since(begin) < 3*impactTime; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		tail := w.tail(beside, nil)
		w.mu.Unlock()
		now := time.Now()
		if tail > targetMS && own.Load() <= targetMS && w.paceOn(beside) > 0 {
			over += now.Sub(last)
		} else {
			over = 0
		}
		longest, last = max(longest, over), now
	}
	w.rec.logf("the tail on %s was over %d ms for %.1f s on end; the pace of the task that fills is %d", beside.id, targetMS, longest.Seconds(), w.paceOn(beside))
	if longest > impactTime {
		w.rec.violate("HARM: a task that serves on %s is over its target of %d ms for %.1f s on end, from 3 s after the last disruption on; its own tail is %d ms, and the task that fills beside it works on at %d%%",
			beside.id, targetMS, longest.Seconds(), own.Load(), w.paceOn(beside))
	}
	return nil
}

// paceOn returns the pace of the task that fills on a runner; -1 if there is none.
func (w *world) paceOn(r *runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range r.runs {
		if x.step.Filling {
			return x.pace
		}
	}
	return -1
}
