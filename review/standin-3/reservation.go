package main

import (
	"fmt"
	"time"
)

func init() { cases["13"] = smallJobBesideGangs }

const (
	batchID = "5c0e7a21d94b3611"
	largeID = "5c0e7a21d94b3621"
	proofID = "5c0e7a21d94b3631"
)

// smallJobBesideGangs: a large gang comes while a batch job takes a third of each worker. It waits, and a small job that is
// sent after it waits as well, though most of the service is free.
func smallJobBesideGangs(w *world, trouble bool) error {
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
	workers := len(w.runners)
	if err := w.submit(proofs, batchID, &job{Specification: "overnight plans", Steps: []step{
		{Count: workers, CPU: 10000, Memory: 20000, EstimatedMS: 70000, PerRunner: 1},
	}}); err != nil {
		return err
	}
	if err := w.await(settled, "all tasks of the batch job run", func() bool { return len(w.runsOf(batchID)) == workers }); err != nil {
		return err
	}
	if trouble {
		w.rec.logf("disruption: a large job comes")
		if err := w.submit(plans, largeID, &job{Specification: "hymnal set", Steps: []step{
			{Count: workers, CPU: 24000, Memory: 40000, EstimatedMS: 16000, Gang: true},
		}}); err != nil {
			return err
		}
	}
	if err := w.submit(proofs, proofID, &job{Specification: "lettering proofs", Steps: []step{{Count: 10, CPU: 2000, Memory: 4000, EstimatedMS: 6000}}}); err != nil {
		return err
	}
	w.rec.logf("end of the traffic")
	time.Sleep(finishTime)
	return w.checkLost(proofID, 6*time.Second)
}
