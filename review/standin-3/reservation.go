package main

import (
	"fmt"
	"time"
)

func init() { cases["13"] = smallJobBesideGang }

const (
	batchID = "5c0e7a21d94b3611"
	largeID = "5c0e7a21d94b3621"
	proofID = "5c0e7a21d94b3631"
)

// smallJobBesideGang: a large gang comes while a batch job takes a part of the service. It waits, and a small job that is sent
// after it waits as well, though most of the service is free.
func smallJobBesideGang(w *world, trouble bool) error {
	const workers = 2 * rackSize
	for i := range workers {
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
	// On some workers two tasks of 9 cores run, so 14 cores are left there: no place for a member of the gang.
	const full = 4
	long := step{Count: full, CPU: 9000, Memory: 20000, EstimatedMS: 30000, PerRunner: 1}
	if err := w.submit(plans, batchID, &job{Specification: "overnight plans", Steps: []step{long, long}}); err != nil {
		return err
	}
	if err := w.await(settled, "all tasks of the batch job run", func() bool { return len(w.runsOf(batchID)) == 2*full }); err != nil {
		return err
	}
	if trouble {
		w.rec.logf("disruption: a large job comes")
		if err := w.submit(plans, largeID, &job{Specification: "hymnal set", Steps: []step{
			{Count: 2 * workers, CPU: 15000, Memory: 26000, EstimatedMS: 16000, Gang: true},
		}}); err != nil {
			return err
		}
	}
	if err := w.submit(proofs, proofID, &job{Specification: "lettering proofs", Steps: []step{{Count: 10, CPU: 3000, Memory: 4000, EstimatedMS: 6000}}}); err != nil {
		return err
	}
	w.rec.logf("end of the traffic")
	time.Sleep(finishTime)
	return w.checkLost(proofID, 6*time.Second)
}
