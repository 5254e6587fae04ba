package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// burstJobs are sent within burstTime; fewJobs are sent in the same time without the disruption.
	burstJobs = 280
	fewJobs   = 40
	burstTime = 4 * time.Second
	// repetitions is a time a minute for a day.
	repetitions = 1440
	// firstDue is when the first times are due, spread over a minute.
	firstDue = 15 * time.Second
	// ownEndsAllowed is how often the processes of a machine may end by themselves in a day, by the rule Fault,
	// on less than endingMachines machines.
	ownEndsAllowed = 2
	endingMachines = 2
	playTime       = 100 * time.Second
)

// playMemory submits a burst of jobs that run once a minute for a day.
func playMemory(l *lab) (bool, error) {
	rec := l.record
	jobs := fewJobs
	if l.trouble {
		jobs = burstJobs
	}
	st := &step{count: 1, size: size{2800, 4096}, work: time.Second}
	began := time.Now()
	statuses := make(map[int]int)
	accepted := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(i) * burstTime / time.Duration(jobs))))
		id := newID()
		l.jobs.add(id, st)
		due := began.Add(firstDue + time.Duration(i)*time.Minute/time.Duration(jobs))
		wg.Go(func() {
			ok, status := l.clients.submit(i, id, map[string]any{
				"specification": "spine label check", "repetitions": repetitions, "first_run_ms": due.UnixMilli(), "interval_ms": time.Minute.Milliseconds(),
				"steps": []map[string]any{{"count": 1, "cpu": st.size.milliCPU, "requested_memory_mb": st.size.memoryMB, "estimated_ms": 1000}},
			})
			rec.logf("job %s, first due at %.1f s: POST %d", id, rec.seconds(due), status)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if ok {
				accepted[id] = due
			}
		})
	}
	wg.Wait()
	rec.sayf("%d jobs with %d times each were sent and answered in %.1f s; answers by status: %v", jobs, repetitions, time.Since(began).Seconds(), statuses)
	// The state of one job is asked for once a second.
	var asked, answered atomic.Int64
	n := 0
	for time.Since(began) < playTime {
		time.Sleep(time.Second)
		for id := range accepted {
			n++
			asked.Add(1)
			if status, _ := l.clients.state(n, id); status == http.StatusOK {
				answered.Add(1)
			}
			break
		}
	}
	ending := 0
	for _, v := range l.vms {
		ends := v.ownEnds()
		rec.sayf("%s: its processes ended %d times; at most %d MB of %d", v.name, len(ends), v.peakMB(), memoryMB)
		if len(ends) > ownEndsAllowed {
			ending++
		}
	}
	dueJobs, ran := 0, 0
	for id, due := range accepted {
		if time.Since(due) < lastingGrace {
			continue
		}
		dueJobs++
		if l.fleet.starts(id) > 0 {
			ran++
		}
	}
	rec.sayf("of %d accepted jobs whose first time was due 6 s ago or earlier, %d have begun; %d of %d questions for a state were answered", dueJobs, ran, answered.Load(), asked.Load())
	if ending >= endingMachines {
		rec.sayf("FAULT: on %d of %d machines processes ended three times or more", ending, len(l.vms))
		return true, nil
	}
	if dueJobs == 0 {
		return false, fmt.Errorf("no job was due")
	}
	return false, nil
}
