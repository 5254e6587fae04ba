package main

import (
	"fmt"
	"time"
)

func init() { cases["11"] = largeGraphs }

const (
	counterServiceID = "5c0e7a21d94b3641"
	labelID          = "5c0e7a21d94b3661"
	// largeJobs is how many large jobs come at once, halfSteps half the number of their steps.
	largeJobs, halfSteps = 20, 128
)

// largeGraphs: large jobs come at once on a queue with a recommendation. The steps of their second half wait for all of the first half.
// The scheduler does nothing else for a long time: leases lapse, and a small job of another queue does not start.
func largeGraphs(w *world, trouble bool) error {
	if err := w.serveAdvice(); err != nil {
		return err
	}
	for i := range rackSize * racks {
		if _, err := w.addRunner(fmt.Sprintf("w-%02d", i), zones[i%len(zones)], []string{"a", "b"}[i%2], fmt.Sprintf("r1-%d", i/rackSize), size{CPU: 32000, Memory: 131072}); err != nil {
			return err
		}
	}
	w.configure(7, advicePolicy())
	for i, zone := range zones[:3] {
		if _, err := w.addVM(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone); err != nil {
			return err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	const lasting = 4
	if err := w.submit(plans, counterServiceID, &job{Specification: "counter service", Steps: []step{
		{Count: lasting, CPU: 4000, Memory: 8000, EstimatedMS: 1000, Lasting: true, PerRunner: 1},
	}}); err != nil {
		return err
	}
	if err := w.await(settled, "all tasks that last are at work", func() bool { return len(w.runsOf(counterServiceID)) == lasting }); err != nil {
		return err
	}
	jobs := 1
	if trouble {
		jobs = largeJobs
		w.rec.logf("disruption: %d large jobs come at once", jobs)
	}
	for n := range jobs {
		if err := w.submit(proofs, fmt.Sprintf("5c0e7a21d94b37%02x", n), twoLayers()); err != nil {
			return err
		}
	}
	if err := w.submit(plans, labelID, &job{Specification: "label", Steps: []step{{Count: 2, CPU: 2800, Memory: 8000, EstimatedMS: 1000}}}); err != nil {
		return err
	}
	w.rec.logf("end of the traffic")
	for until := time.Now().Add(finishTime); time.Now().Before(until); time.Sleep(time.Second) {
		w.rec.logf("at work: %d of %d tasks that last, %d tasks of the small job", len(w.runsOf(counterServiceID)), lasting, len(w.runsOf(labelID)))
	}
	return w.checkLost(labelID, 6*time.Second)
}

// twoLayers is a job of small steps, of which each of the second half comes after all of the first half.
func twoLayers() *job {
	j := &job{Specification: "proof book"}
	var first []int
	for i := range halfSteps {
		j.Steps = append(j.Steps, step{Count: 1, CPU: 1000, Memory: 1000, EstimatedMS: 2700})
		first = append(first, i)
	}
	for range halfSteps {
		j.Steps = append(j.Steps, step{Count: 1, CPU: 1000, Memory: 1000, EstimatedMS: 2700, After: first})
	}
	return j
}
