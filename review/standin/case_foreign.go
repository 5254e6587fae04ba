package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["foreign"] = caseForeign }

// caseForeign: another writer has left an entry whose service is not named in the configuration.
// After the VM of the scheduler was killed, the next scheduler waits for this runner, and starts no
// task of a step that had begun for 17 s. A task that lasts and failed stays away that long.
func caseForeign(w *world, trouble bool) (bool, error) {
	q := &queue{Name: "lohu930", MaxAttempts: 3, Priority: 1}
	w.configure(q)
	if trouble {
		port, err := freePort(1)
		if err != nil {
			return false, err
		}
		w.store.put("servers/i-00000bad", map[string]any{
			"service": "elsewhere", "address": fmt.Sprintf("127.0.0.1:%d", port), "zone": "regina", "version": "v9", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1,
		})
		w.rec.logf("another writer puts the entry i-00000bad of the service elsewhere")
	}
	if err := w.deployment(12, 6, 4); err != nil {
		return false, err
	}
	j := &job{ID: "5c0e7a21d94b36f8", Spec: "a service", queue: q, Steps: []step{
		{Count: 1, CPU: 2000, Memory: 4096, EstimateMS: 1000, Lasting: true, work: time.Hour},
	}}
	if err := w.submit(j); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	killed := w.leader()
	if killed == nil {
		return false, fmt.Errorf("no leader")
	}
	killed.stop(syscall.SIGKILL)
	killedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	w.mu.Lock()
	for _, r := range w.runners {
		for _, x := range r.runs {
			w.finish(x, "failed")
		}
	}
	w.mu.Unlock()
	time.Sleep(700 * time.Millisecond)
	if err := killed.start(); err != nil {
		return false, err
	}
	restartedAt := time.Now()
	// A task that lasts must run again: from 6 s after its last run, and for 3 s, the 4 s before
	// them calm, nothing of it runs.
	const (
		lastingSpan = 6 * time.Second
		calm        = 4 * time.Second
	)
	broken := false
	for time.Since(killedAt) < 30*time.Second {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		live := j.live
		w.mu.Unlock()
		if live > 0 {
			break
		}
		idle := w.idleFor(j) - lastingSpan
		if idle = min(idle, time.Since(restartedAt)-calm); idle >= idleSpan && !broken {
			broken = true
			w.rec.logf("job %s: from 6 s after its last run and 4 s after the last disruption, nothing of it runs for %v", j.ID, idle.Round(time.Millisecond))
		}
	}
	w.rec.logf("job %s: %d starts, %v after the kill", j.ID, j.starts, time.Since(killedAt).Round(10*time.Millisecond))
	return broken, nil
}
