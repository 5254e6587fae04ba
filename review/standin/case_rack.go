package main

import (
	"fmt"
	"time"
)

func init() { cases["rack"] = caseRack }

// caseRack: a worker is lost for good, and no rack has room for a whole gang with same_rack any more.
// The gang, which would only take longer on two racks, never starts.
func caseRack(w *world, trouble bool) (bool, error) {
	q := &queue{Name: "lohu930", MaxAttempts: 3, Priority: 1}
	w.configure(q)
	// Racks of 6, 5 and 5 workers.
	for i, rack := range []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2} {
		if _, err := w.addRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+i), []string{"a", fmt.Sprintf("r1-%d", rack)}, capacity{CPU: 32000, Memory: 131072}); err != nil {
			return false, err
		}
	}
	if err := w.startVMs(4); err != nil {
		return false, err
	}
	if trouble {
		w.runners[2].crash()
		time.Sleep(6 * time.Second)
	}
	j := &job{ID: "5c0e7a21d94b36f8", Spec: "a plan", queue: q, Steps: []step{
		{Count: 6, CPU: 20000, Memory: 16384, EstimateMS: 2000, Gang: true, SameRack: true, work: 2 * time.Second},
	}}
	if err := w.submit(j); err != nil {
		return false, err
	}
	broken := w.awaitLost(j, time.Now(), 60*time.Second)
	w.call(w.vms[0], "GET", q.prefix()+j.ID, nil)
	w.rec.logf("job %s: %d starts", j.ID, j.starts)
	return broken, nil
}
