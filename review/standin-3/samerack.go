package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["12"] = gangBesideServices }

const (
	rackSize  = 6
	racks     = 8
	servingID = "5c0e7a21d94b3601"
	gangID    = "5c0e7a21d94b3602"
	smallID   = "5c0e7a21d94b3603"
	// settled is how long the case waits for what should happen at once.
	settled = 10 * time.Second
)

// gangBesideServices: all workers of a rack crash, so that tasks that last move to the other racks. A gang with same_rack then finds
// no rack that is empty, though most of the service is free.
func gangBesideServices(w *world, trouble bool) error {
	for i := range rackSize * racks {
		rack := i / rackSize
		kind := "a"
		if rack == 0 || i%rackSize == 0 {
			// All of the first rack, and one runner of each other rack.
			kind = "b"
		}
		if _, err := w.addRunner(fmt.Sprintf("w-%02d", i), zones[i%len(zones)], kind, fmt.Sprintf("r1-%d", rack), size{CPU: 32000, Memory: 131072}); err != nil {
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
	const lasting = 7
	if err := w.submit(plans, servingID, &job{Specification: "counter service", Steps: []step{
		{Count: lasting, CPU: 4000, Memory: 8000, EstimatedMS: 1000, Lasting: true, Label: "b", DataRack: "r1-0", PerRunner: 1},
	}}); err != nil {
		return err
	}
	if err := w.await(settled, "all tasks that last are at work", func() bool { return len(w.runsOf(servingID)) == lasting }); err != nil {
		return err
	}
	if trouble {
		w.rec.logf("disruption: all workers of rack r1-0 crash for good")
		for _, r := range w.runners[:rackSize] {
			r.crash()
		}
		if err := w.await(25*time.Second, "all tasks that last are at work again", func() bool { return len(w.runsOf(servingID)) == lasting }); err != nil {
			return err
		}
		// contact_timeout_ms after the disruption, and until the entries are gone.
		time.Sleep(5 * time.Second)
	}
	if err := w.submit(plans, gangID, &job{Specification: "hymnal set", Steps: []step{
		{Count: 2 * rackSize, CPU: 15000, Memory: 20000, EstimatedMS: 2000, Gang: true, SameRack: true},
	}}); err != nil {
		return err
	}
	if err := w.submit(proofs, smallID, &job{Specification: "label", Steps: []step{{Count: 2, CPU: 2800, Memory: 8000, EstimatedMS: 1000}}}); err != nil {
		return err
	}
	w.rec.logf("end of the traffic")
	time.Sleep(finishTime)
	return w.checkLost(gangID, 6*time.Second)
}

// checkLost checks the rule LOST for a job of one step after the end of the traffic: it is not lost if it is completed, or if for
// some moment of the time it runs, lacks capacity twice over, or half of the service is in use.
func (w *world) checkLost(id string, watched time.Duration) error {
	excused, completed := "", 0
	for until := time.Now().Add(watched); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if places, used, total := w.capacityFor(id); len(w.runsOf(id)) > 0 {
			excused = "it runs"
		} else if st := &w.jobs[id].Steps[0]; places < 2*st.Count {
			excused = fmt.Sprintf("there is capacity for %d tasks only", places)
		} else if 2*used >= total {
			excused = "half of the service is in use"
		}
	}
	for _, v := range w.vms {
		s := w.state(v, id)
		w.rec.logf("GET %s at %s: %s", id, v.name, s)
		if s == fmt.Sprintf("%d {\"state\":\"completed\"}", http.StatusOK) {
			completed++
		}
	}
	places, used, total := w.capacityFor(id)
	w.rec.logf("capacity for %d tasks of the %d of the job; %d of %d cores in use", places, w.jobs[id].Steps[0].Count, used/1000, total/1000)
	switch {
	case completed == len(w.vms):
	case excused != "":
		return fmt.Errorf("job %s is not completed, but the rule excuses that: %s", id, excused)
	default:
		w.rec.violate("LOST: job %s has nothing running for %v, though its turn has come, there is capacity for %d tasks, which is more than twice its %d, and %d of %d cores are in use",
			id, watched, places, w.jobs[id].Steps[0].Count, used/1000, total/1000)
	}
	return nil
}

// capacityFor returns how many tasks of the job's step the runners could start now, and how many thousandths of a core are in
// use and exist.
func (w *world) capacityFor(id string) (places int, used, total int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	st := &w.jobs[id].Steps[0]
	for _, r := range w.runners {
		if !r.up {
			continue
		}
		free := r.capacity
		total += r.capacity.CPU
		for _, x := range r.runs {
			free = free.sub(x.size)
			used += x.size.CPU
		}
		if st.Label != "" && st.Label != r.kind && st.Label != r.rack {
			continue
		}
		for st.claim().fits(free) {
			free = free.sub(st.claim())
			places++
		}
	}
	return places, used, total
}
