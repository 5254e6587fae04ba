package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	advisedJobs = 10
	settleTime  = 12 * time.Second
)

// playSettings moves the service at `recommendation` to another address and changes the settings files, with SIGHUP
// to one of four VMs.
func playSettings(l *lab) (bool, error) {
	rec := l.record
	st := &step{count: 2, size: size{2000, 4096}, work: time.Second}
	submit := func(n int) ([]string, error) {
		var ids []string
		for i := range n {
			id := newID()
			l.jobs.add(id, st)
			ok, status := l.clients.submit(i, id, map[string]any{"specification": "plan", "steps": []map[string]any{{
				"count": st.count, "cpu": st.size.milliCPU, "requested_memory_mb": st.size.memoryMB, "estimated_ms": 1000,
			}}})
			rec.logf("job %s: POST %d", id, status)
			if !ok {
				return nil, fmt.Errorf("a job was not accepted: %d", status)
			}
			ids = append(ids, id)
		}
		return ids, nil
	}
	completed := func(ids []string) int {
		n := 0
		for i, id := range ids {
			if _, state := l.clients.state(i, id); state == "completed" {
				n++
			}
		}
		return n
	}
	before, err := submit(advisedJobs)
	if err != nil {
		return false, err
	}
	if !waitFor(15*time.Second, func() bool { return completed(before) == advisedJobs }) {
		return false, fmt.Errorf("the first jobs are not completed")
	}
	rec.sayf("%d jobs are completed; %d calls for advice", advisedJobs, l.advisor.callCount())
	if l.trouble {
		if err := l.advisor.serve(); err != nil {
			return false, err
		}
		for _, v := range l.vms {
			if err := v.writeSettings(l.store.addr, l.advisor.addr); err != nil {
				return false, err
			}
		}
		l.vms[0].signal(syscall.SIGHUP)
		rec.sayf("the service at recommendation has moved to %s; all settings files say so; SIGHUP to %s", l.advisor.addr, l.vms[0].name)
	}
	calls := l.advisor.callCount()
	time.Sleep(settleTime)
	after, err := submit(advisedJobs)
	if err != nil {
		return false, err
	}
	lastSent := time.Now()
	time.Sleep(finishTime)
	var idleSince time.Time
	broken := false
	for time.Since(lastSent) < finishTime+20*time.Second {
		time.Sleep(sampleTime)
		open := ""
		for _, id := range after {
			if l.fleet.starts(id) == 0 {
				open = id
				break
			}
		}
		room := l.fleet.room(st.size)
		if open == "" || room.places < 2*st.count || 2*room.used.milliCPU >= room.whole.milliCPU {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) >= idleTime && !broken {
			broken = true
			status, state := l.clients.state(0, open)
			rec.sayf("LOST: for 3 s nothing of job %s has run; GET answers %d %q; room for %d of its %d tasks", open, status, state, room.places, st.count)
		}
	}
	rec.sayf("%d of %d jobs sent after it are completed; %d calls for advice since", completed(after), advisedJobs, l.advisor.callCount()-calls)
	return broken, nil
}
