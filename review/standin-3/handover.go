package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["14"] = serviceAfterHandover }

const (
	serviceID = "5c0e7a21d94b3641"
	// lastRunAge, watchedTime and calmTime are those of LOST for tasks that last.
	lastRunAge, watchedTime, calmTime = 6 * time.Second, 3 * time.Second, 4 * time.Second
)

// serviceAfterHandover: a worker crashes for good, and a moment later the process of the scheduler is killed. The task that lasted on
// the worker starts again late.
func serviceAfterHandover(w *world, trouble bool) error {
	for i := range rackSize * racks {
		if _, err := w.addRunner(fmt.Sprintf("w-%02d", i), zones[i%len(zones)], []string{"a", "b"}[i%2], fmt.Sprintf("r1-%d", i/rackSize), size{CPU: 32000, Memory: 131072}); err != nil {
			return err
		}
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
	const lasting = 4
	if err := w.submit(plans, serviceID, &job{Specification: "counter service", Steps: []step{
		{Count: lasting, CPU: 4000, Memory: 8000, EstimatedMS: 1000, Lasting: true, PerRunner: 1},
	}}); err != nil {
		return err
	}
	allAtWork := func() bool { return len(w.runsOf(serviceID)) == lasting }
	if err := w.await(settled, "all tasks that last are at work", allAtWork); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	if !trouble {
		if !allAtWork() {
			w.rec.violate("LOST: a task that lasts does not run")
		}
		return nil
	}
	var crashed *runner
	task := ""
	for task, crashed = range w.runsOf(serviceID) {
		break
	}
	w.rec.logf("disruption: worker %s, on which %s works, crashes for good", crashed.id, task)
	crashed.crash()
	ended := time.Now()
	calm := ended
	if os.Getenv("KILL") != "0" {
		time.Sleep(3 * time.Second)
		leader := w.leader()
		if leader == nil {
			return fmt.Errorf("no VM holds the role of the scheduler")
		}
		w.rec.logf("disruption: the process of %s, which holds the scheduler's role, is killed", leader.name)
		leader.kill()
		time.Sleep(time.Second)
		if err := leader.start(); err != nil {
			return err
		}
		calm = time.Now()
	}
	if err := w.await(30*time.Second, "all tasks that last are at work again", allAtWork); err != nil {
		return err
	}
	begins := ended.Add(lastRunAge)
	if c := calm.Add(calmTime); c.After(begins) {
		begins = c
	}
	without := time.Since(begins)
	w.rec.logf("%s starts again %.1f s after its last run and %.1f s after the last disruption", task, time.Since(ended).Seconds(), time.Since(calm).Seconds())
	if without > watchedTime {
		places, used, total := w.capacityFor(serviceID)
		w.rec.violate("LOST: %s has no run for %.1f s, counted from 6 s after its last run and 4 s after the last disruption, beside capacity for %d tasks and %d of %d cores in use",
			task, without.Seconds(), places, used/1000, total/1000)
	}
	return nil
}

// leader returns the VM that holds the scheduler's role by the store's record; nil if none does.
func (w *world) leader() *vm {
	holder := string(w.store.value("lead/holder"))
	for _, v := range w.vms {
		if strings.Contains(holder, `"`+v.name+`"`) {
			return v
		}
	}
	return nil
}
