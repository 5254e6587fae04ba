package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	waitingJobs = 800
	// visibleWait is visible_ms and the 2 s that the count may be old.
	visibleWait = 5 * time.Second
	killPause   = 8 * time.Second
	kills       = 12
	askInterval = 20 * time.Millisecond
	// contactTime is contact_timeout_ms: a VM whose process was killed or started is out of touch for so long.
	contactTime = 3 * time.Second
)

// playPending kills the scheduler's process while many jobs wait, and asks all other VMs how many do.
func playPending(l *lab) (bool, error) {
	rec := l.record
	st := &step{count: 1, size: size{16000, 4096}, work: 2 * time.Minute}
	accepted := 0
	for i := range waitingJobs {
		id := newID()
		l.jobs.add(id, st)
		ok, status := l.clients.submit(i, id, map[string]any{"specification": "proof", "steps": []map[string]any{{
			"count": 1, "cpu": st.size.milliCPU, "requested_memory_mb": st.size.memoryMB, "estimated_ms": 2000,
		}}})
		if !ok {
			rec.logf("job %d was refused: %d", i, status)
			continue
		}
		accepted++
	}
	time.Sleep(visibleWait)
	begun := l.fleet.begunJobs()
	waiting := accepted - begun
	rec.sayf("%d jobs accepted, %d have begun, %d wait; no runner has room for more", accepted, begun, waiting)
	if waiting < waitingJobs/4 {
		return false, fmt.Errorf("only %d jobs wait", waiting)
	}
	var mu sync.Mutex
	outOfTouch := make(map[string]time.Time)
	answers, low := 0, 0
	lowest := accepted
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for n, v := range l.vms {
		asking.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(askInterval):
				}
				asked := time.Now()
				status, data := l.clients.call(n, http.MethodGet, "", nil)
				if status != http.StatusOK {
					continue
				}
				var out struct {
					Pending *int `json:"pending"`
				}
				if json.Unmarshal(data, &out) != nil || out.Pending == nil {
					continue
				}
				// Jobs that begin later lower the count that the rule asks for.
				waiting := accepted - l.fleet.begunJobs()
				mu.Lock()
				if asked.After(outOfTouch[v.name]) {
					answers++
					lowest = min(lowest, *out.Pending)
					if 2**out.Pending < waiting {
						low++
						rec.logf("MIXED: %s gives %d as pending, %d jobs wait", v.name, *out.Pending, waiting)
					}
				}
				mu.Unlock()
			}
		})
	}
	for range kills {
		if l.trouble {
			if h := holder(l.store, l.vms); h != nil {
				mu.Lock()
				outOfTouch[h.name] = time.Now().Add(restartDelay + time.Second + contactTime)
				mu.Unlock()
				rec.sayf("%s holds the scheduler's role and is killed", h.name)
				h.kill("SIGKILL")
			}
		}
		time.Sleep(killPause)
		rec.logf("%d jobs have begun in all", l.fleet.begunJobs())
	}
	close(stop)
	asking.Wait()
	rec.sayf("%d answers of VMs in touch; the lowest count is %d, %d answers are under half of what waited", answers, lowest, low)
	return low > 0, nil
}
