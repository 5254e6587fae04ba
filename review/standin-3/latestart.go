package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["12"] = lateStartInNextLife }

const (
	nightID  = "5c0e7a21d94b3671"
	proofsID = "5c0e7a21d94b3672"
	shortID  = "5c0e7a21d94b3673"
	// minLate and maxLate are how much later an order that got no answer may be carried out.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// killDelay is how long after the order its sender is killed.
	killDelay = 300 * time.Millisecond
)

// lateStartInNextLife: a start gets no answer, and its sender, the scheduler, is killed. The next scheduler starts the task on another
// worker. The first worker crashes and starts again, and carries out the late start first.
func lateStartInNextLife(w *world, trouble bool) error {
	for i := range 8 {
		if _, err := w.addRunner(fmt.Sprintf("w-%02d", i), zones[i%len(zones)], []string{"a", "b"}[i%2], fmt.Sprintf("r1-%d", i/4), size{CPU: 32000, Memory: 131072}); err != nil {
			return err
		}
	}
	type heldOrder struct {
		on *runner
		o  order
		at time.Time
	}
	held := make(chan heldOrder, 1)
	taken := false
	w.late = func(r *runner, path string, o *order) time.Duration {
		if !trouble || taken || path != "/-/run-start" || o.Task != proofsID+".0.0.0" {
			return 0
		}
		taken = true
		held <- heldOrder{r, *o, time.Now()}
		return lost
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
	// Three workers of each kind are full, so one of each kind has room.
	full := step{Count: 3, CPU: 30000, Memory: 60000, EstimatedMS: 90000, PerRunner: 1}
	night := &job{Specification: "overnight plans", Steps: []step{full, full}}
	night.Steps[0].Label, night.Steps[1].Label = "a", "b"
	if err := w.submit(proofs, nightID, night); err != nil {
		return err
	}
	if err := w.await(settled, "six workers are full", func() bool { return len(w.runsOf(nightID)) == 6 }); err != nil {
		return err
	}
	// A short task takes one of the two, so the next task is started on the other.
	if err := w.submit(plans, shortID, &job{Specification: "label", Steps: []step{{Count: 1, CPU: 30000, Memory: 60000, EstimatedMS: 1700, Label: "a"}}}); err != nil {
		return err
	}
	if err := w.await(settled, "the short task runs", func() bool { return len(w.runsOf(shortID)) == 1 }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	large := step{Count: 1, CPU: 20000, Memory: 20000, EstimatedMS: 20000}
	if err := w.submit(proofs, proofsID, &job{Specification: "lettering proofs", Steps: []step{large}}); err != nil {
		return err
	}
	if !trouble {
		if err := w.await(settled, "the task runs", func() bool { return len(w.runsOf(proofsID)) == 1 }); err != nil {
			return err
		}
		return w.await(30*time.Second, "the task has ended", func() bool { return len(w.runsOf(proofsID)) == 0 })
	}
	var late heldOrder
	select {
	case late = <-held:
	case <-time.After(settled):
		return fmt.Errorf("no start of %s was sent", proofsID)
	}
	w.rec.logf("disruption: the start of %s on %s gets no answer", late.o.Task, late.on.id)
	leader := w.leader()
	if leader == nil {
		return fmt.Errorf("no VM holds the role of the scheduler")
	}
	time.Sleep(time.Until(late.at.Add(killDelay)))
	w.rec.logf("disruption: the process of %s, which sent it and holds the scheduler's role, is killed", leader.name)
	leader.kill()
	time.Sleep(time.Second)
	if err := leader.start(); err != nil {
		return err
	}
	if err := w.await(maxLate, "the task runs on another worker", func() bool {
		on := w.runsOf(proofsID)[late.o.Task]
		return on != nil && on != late.on
	}); err != nil {
		return err
	}
	w.rec.logf("disruption: worker %s crashes, and starts again", late.on.id)
	late.on.crash()
	time.Sleep(time.Second)
	lateness := time.Since(late.at)
	if lateness < minLate || lateness > maxLate {
		return fmt.Errorf("the order would be carried out %v late", lateness)
	}
	if err := late.on.restart(&late.o); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// restart begins a new incarnation at the same address. It carries out a late order first.
func (r *runner) restart(late *order) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.begin(l)
	r.w.rec.logf("runner %s starts again", r.id)
	status, body := r.executeLocked(lateStartPath, late)
	r.w.rec.logf("runner %s carries out the late %s %s#%d: %d %v", r.id, lateStartPath, late.Task, late.Execution, status, body["reason"])
	return nil
}

const (
	lateStartPath = "/-/run-start"
	// lost as the lateness of a call: the stand-in never carries it out by itself.
	lost = time.Duration(1 << 62)
)
