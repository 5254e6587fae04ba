package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	rackSize = 6
	racks    = 8
	// settled is how long a case waits for what should happen at once.
	settled = 10 * time.Second
)

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
