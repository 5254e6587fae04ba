package main

import (
	"fmt"
	"time"
)

var setups = map[string]setup{
	"rack":     {vms: 4, runners: 48, targetMS: 1000},
	"memory":   {vms: 4, runners: 48, quiet: true, targetMS: 1000},
	"takeover": {vms: 4, runners: 12, targetMS: 1000},
	"pending":  {vms: 8, runners: 6, targetMS: 600000},
	"ends":     {vms: 4, runners: 4, quiet: true, targetMS: 600000},
}

const (
	// finishTime is finish_s, idleTime the time of the rule LOST for which a job has nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// watchTime is how long a gang that does not start is watched.
	watchTime  = 40 * time.Second
	sampleTime = 100 * time.Millisecond
)

// playRack loses the rack on which a gang with same_rack runs. All other racks are partly taken by tasks that
// last, so that none of them has room for the whole gang, and all of them together have room for it many times.
func playRack(l *lab) (bool, error) {
	rec := l.record
	service, gang, plain := newID(), newID(), newID()
	serviceStep := &step{count: 42, size: size{14000, 4096}, lasting: true}
	gangStep := &step{count: 14, size: size{9000, 4096}, work: 12 * time.Second, gang: true}
	l.jobs.add(service, serviceStep)
	l.jobs.add(gang, gangStep)
	l.jobs.add(plain, gangStep)
	ok, status := l.clients.submit(0, service, map[string]any{"specification": "service", "steps": []map[string]any{{
		"count": serviceStep.count, "cpu": serviceStep.size.milliCPU, "requested_memory_mb": serviceStep.size.memoryMB, "estimated_ms": 1000,
		"long_running": true, "anti_affinity": 1, "requirements": "a",
	}}})
	rec.sayf("service %s of 42 tasks that last, one on each runner of racks 1 to 7: POST %d", service, status)
	if !ok {
		return false, fmt.Errorf("the service was not accepted: %d", status)
	}
	if !waitFor(15*time.Second, func() bool { return l.fleet.running(service) == serviceStep.count }) {
		return false, fmt.Errorf("the service does not run")
	}
	gangBody := func(sameRack bool) map[string]any {
		st := map[string]any{
			"count": gangStep.count, "cpu": gangStep.size.milliCPU, "requested_memory_mb": gangStep.size.memoryMB, "estimated_ms": gangStep.work.Milliseconds(),
			"gang_scheduled": true,
		}
		if sameRack {
			st["same_rack"] = true
		}
		return map[string]any{"specification": "plan", "steps": []map[string]any{st}}
	}
	ok, status = l.clients.submit(1, gang, gangBody(true))
	rec.sayf("gang %s of 14 tasks with same_rack: POST %d", gang, status)
	if !ok {
		return false, fmt.Errorf("the gang was not accepted: %d", status)
	}
	if !waitFor(10*time.Second, func() bool { return l.fleet.running(gang) == gangStep.count }) {
		return false, fmt.Errorf("the gang does not run")
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		for _, r := range l.fleet.runners[len(l.fleet.runners)-runnersPerRack:] {
			l.fleet.crash(r)
		}
	}
	lost := time.Now()
	time.Sleep(8 * time.Second)
	ok, status = l.clients.submit(2, plain, gangBody(false))
	rec.sayf("gang %s, equal but without same_rack: POST %d", plain, status)
	if !ok {
		return false, fmt.Errorf("the second gang was not accepted: %d", status)
	}
	lastSent := time.Now()

	// Traffic has ended. From finish_s on, the rule LOST asks for each job.
	var idleSince time.Time
	broken := false
	for time.Since(lastSent) < finishTime+watchTime {
		time.Sleep(sampleTime)
		status, state := l.clients.state(3, gang)
		if state == "completed" {
			rec.sayf("gang %s is completed %.1f s after the loss", gang, time.Since(lost).Seconds())
			break
		}
		room := l.fleet.room(gangStep.size)
		idle := time.Since(lastSent) > finishTime && l.fleet.running(gang) == 0 && room.places >= 2*gangStep.count &&
			2*room.used.milliCPU < room.whole.milliCPU && 2*room.used.memoryMB < room.whole.memoryMB
		if !idle {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) >= idleTime && !broken {
			broken = true
			rec.sayf("LOST: for 3 s nothing of gang %s has run; GET answers %d %q; room for %d of its %d tasks; %d of %d milli-cores in use",
				gang, status, state, room.places, gangStep.count, room.used.milliCPU, room.whole.milliCPU)
		}
	}
	_, state := l.clients.state(3, gang)
	_, plainState := l.clients.state(3, plain)
	rec.sayf("%.0f s after the loss: gang with same_rack %q, %d starts in all; gang without %q", time.Since(lost).Seconds(), state, l.fleet.starts(gang), plainState)
	return broken, nil
}
