package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	// lastingGrace is the time after its last run from which a task that lasts may not stand still for idleTime,
	// calmTime the time before these 3 s that has to be calm as well.
	lastingGrace = 6 * time.Second
	calmTime     = 4 * time.Second
	killAfter    = 4 * time.Second
)

// playTakeover loses a runner for good and then, before the scheduler has removed it from its roster, the
// process of the scheduler.
func playTakeover(l *lab) (bool, error) {
	rec := l.record
	service := newID()
	st := &step{count: 6, size: size{4000, 4096}, lasting: true}
	l.jobs.add(service, st)
	ok, status := l.clients.submit(0, service, map[string]any{"specification": "service", "steps": []map[string]any{{
		"count": st.count, "cpu": st.size.milliCPU, "requested_memory_mb": st.size.memoryMB, "estimated_ms": 1000, "long_running": true, "anti_affinity": 1,
	}}})
	rec.sayf("service %s of 6 tasks that last: POST %d", service, status)
	if !ok {
		return false, fmt.Errorf("the service was not accepted: %d", status)
	}
	if !waitFor(15*time.Second, func() bool { return l.fleet.running(service) == st.count }) {
		return false, fmt.Errorf("the service does not run")
	}
	time.Sleep(6 * time.Second)
	only := os.Getenv("ONLY")
	var victim *runner
	task := ""
	l.fleet.mu.Lock()
	for _, r := range l.fleet.runners {
		for name := range r.runs {
			if strings.HasPrefix(name, service+".") {
				victim, task = r, name
			}
		}
	}
	l.fleet.mu.Unlock()
	lost := time.Now()
	if l.trouble && only != "kill" {
		l.fleet.crash(victim)
	}
	time.Sleep(killAfter)
	if l.trouble && only != "crash" {
		h := holder(l.store, l.vms)
		if h == nil {
			return false, fmt.Errorf("no VM holds the role")
		}
		rec.sayf("%s holds the scheduler's role and is killed", h.name)
		h.kill("SIGKILL")
	}
	calmFrom := time.Now().Add(restartDelay)
	// A task that stands still for 3 s, from 6 s after its last run on, with these 3 s and the 4 s before them calm.
	from := lost.Add(lastingGrace)
	if c := calmFrom.Add(calmTime); l.trouble && c.After(from) {
		from = c
	}
	broken := false
	back := false
	for time.Since(lost) < 40*time.Second {
		time.Sleep(sampleTime)
		if l.fleet.running(service) == st.count {
			if !back {
				rec.sayf("all 6 tasks run again %.1f s after the loss", time.Since(lost).Seconds())
			}
			back = true
			if time.Since(lost) > 25*time.Second {
				break
			}
			continue
		}
		back = false
		if !broken && time.Since(from) >= idleTime {
			broken = true
			room := l.fleet.room(st.size)
			rec.sayf("LOST: task %s has not run since %.1f s, though the last %.1f s were calm; room for %d such tasks", task, time.Since(lost).Seconds(),
				time.Since(calmFrom).Seconds(), room.places)
		}
	}
	return broken, nil
}
