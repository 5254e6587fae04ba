package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// The store is down for outageTime; the process of the scheduler is killed killInto after that began.
	outageTime = 4500 * time.Millisecond
	killInto   = 3500 * time.Millisecond
	// The tasks of all jobs fill the runners, 800 tasks of 40 milli-cores on each.
	shortJobs     = 200
	tasksOfAJob   = 16
	taskMilliCPU  = 40
	submitTime    = 3 * time.Second
	taskWork      = 14 * time.Second
	beforeFirst   = 100 * time.Millisecond
	endsPlay      = 100 * time.Second
	twiceInRecord = 200
)

// playEnds lets the store be down while many tasks end, and kills the scheduler's process meanwhile. Runners then
// hold more ends than one answer lists when the next scheduler asks them.
func playEnds(l *lab) (bool, error) {
	rec := l.record
	st := &step{count: tasksOfAJob, size: size{taskMilliCPU, 64}, work: taskWork}
	began := time.Now()
	ids := make([]string, shortJobs)
	failed := make([]int, shortJobs)
	var wg sync.WaitGroup
	for i := range ids {
		time.Sleep(time.Until(began.Add(time.Duration(i) * submitTime / shortJobs)))
		ids[i] = newID()
		l.jobs.add(ids[i], st)
		wg.Go(func() {
			ok, status := l.clients.submit(i, ids[i], map[string]any{"specification": "proofs", "steps": []map[string]any{{
				"count": st.count, "cpu": st.size.milliCPU, "requested_memory_mb": st.size.memoryMB, "estimated_ms": taskWork.Milliseconds(),
			}}})
			rec.logf("job %s of %d tasks: POST %d", ids[i], st.count, status)
			if !ok {
				failed[i] = status
			}
		})
	}
	wg.Wait()
	for _, status := range failed {
		if status != 0 {
			return false, fmt.Errorf("a job was not accepted: %d", status)
		}
	}
	all := shortJobs * tasksOfAJob
	if !waitFor(taskWork-time.Since(began)-time.Second, func() bool { return l.fleet.active() == all }) {
		return false, fmt.Errorf("only %d of %d tasks run", l.fleet.active(), all)
	}
	rec.sayf("%d jobs, %d tasks run", shortJobs, all)
	first := l.fleet.firstStart()
	time.Sleep(time.Until(first.Add(taskWork - beforeFirst)))
	if l.trouble {
		h := holder(l.store, l.vms)
		if h == nil {
			return false, fmt.Errorf("no VM holds the role")
		}
		if os.Getenv("ONLY") != "kill" {
			l.store.outage(outageTime)
			rec.sayf("the store is down for %v", outageTime)
		}
		time.Sleep(killInto)
		rec.sayf("a runner holds up to %d ends that were not taken note of", l.fleet.mostEnds())
		if os.Getenv("ONLY") != "outage" {
			rec.sayf("%s holds the scheduler's role and is killed", h.name)
			h.kill("SIGKILL")
		}
	}
	completed := 0
	waitFor(endsPlay-time.Since(rec.began), func() bool {
		completed = 0
		for i, id := range ids {
			if _, state := l.clients.state(i, id); state == "completed" {
				completed++
			}
		}
		return completed == len(ids)
	})
	rec.sayf("%d of %d jobs are completed", completed, len(ids))
	again := l.fleet.twice()
	for i, x := range again {
		switch {
		case i >= twiceInRecord:
		case x.overlap != nil:
			rec.logf("TWICE: run %s execution %d began on %s beside execution %d on %s", x.again.task, x.again.execution, x.again.runner, x.overlap.execution, x.overlap.runner)
		default:
			rec.logf("TWICE: run %s execution %d began on %s at %.3f, after execution %d had ended done on %s at %.3f, which was taken note of", x.again.task, x.again.execution,
				x.again.runner, rec.seconds(x.again.began), x.end.execution, x.end.runner, rec.seconds(x.end.at))
		}
	}
	rec.sayf("TWICE: %d starts of tasks that had ended done or ran", len(again))
	return len(again) > 0, nil
}
