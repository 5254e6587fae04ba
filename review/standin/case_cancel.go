package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel"] = caseCancel }

// Bounds for the case, as in the settings file of psalter-hq.
const (
	contactTimeout = 3 * time.Second
	cancelBound    = 3 * time.Second
	stopBound      = 200 * time.Millisecond
)

// caseCancel: a client gets no acceptance for a job, gives up and cancels the job, which is acknowledged
// with 410. A write of the job takes effect later, and the job is run.
func caseCancel(w *world, trouble bool) (bool, error) {
	const (
		windows       = 2
		lostFor       = 4500 * time.Millisecond
		windowEvery   = 20 * time.Second
		windowAt      = 4 * time.Second
		jobEvery      = 26 * time.Millisecond // 38 jobs a second
		longEvery     = 8
		longWork      = 12 * time.Second
		lastRunsEndIn = 15 * time.Second
	)
	q := &queue{Name: "lohu930", MaxAttempts: 3, Priority: 1}
	w.configure(q)
	if err := w.deployment(12, 6, 4); err != nil {
		return false, err
	}
	c := &cancelCheck{w: w, seen: make(map[string]bool)}
	w.onStart = c.started
	w.onTick = c.tick
	var clients sync.WaitGroup
	begin := time.Now()
	next := windowAt
	for n := 0; time.Since(begin) < windows*windowEvery; n++ {
		if time.Since(begin) >= next {
			next += windowEvery
			if trouble {
				w.rec.logf("store: for %v a third of the writes get no answer and are done 1 to 6 s later", lostFor)
				w.store.lateWrites(lostFor)
				w.mu.Lock()
				c.lostEnd = time.Now().Add(lostFor)
				w.mu.Unlock()
			}
		}
		st := step{Count: 1, CPU: 2800, Memory: 8000, EstimateMS: 1000, work: time.Second}
		if n%longEvery == 0 {
			st = step{Count: 1, CPU: 2000, Memory: 4000, EstimateMS: longWork.Milliseconds(), work: longWork}
		}
		j := &job{ID: fmt.Sprintf("5c0e7a21%08x", n), Spec: "a check", queue: q, Steps: []step{st}}
		w.know(j)
		clients.Go(func() { w.submitOrCancel(j, n) })
		time.Sleep(jobEvery)
	}
	clients.Wait()
	time.Sleep(lastRunsEndIn)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.logf("jobs whose cancelling had been acknowledged: %d starts; %d of them by machines in touch more than %v later; %d tasks ran on after a calm stretch of %v",
		c.starts, c.late, cancelBound, c.runsOn, cancelBound+stopBound)
	return c.late+c.runsOn > 0, nil
}

// cancelCheck looks for work of cancelled jobs. The world's lock guards it.
type cancelCheck struct {
	w *world
	// lostEnd is the end of the last time in which answers of the store were lost.
	lostEnd              time.Time
	starts, late, runsOn int
	seen                 map[string]bool
}

func (c *cancelCheck) started(x *run) {
	if x.job.cancelled.IsZero() {
		return
	}
	c.starts++
	after := time.Since(x.job.cancelled)
	inTouch := time.Since(c.lostEnd) > contactTimeout
	c.w.rec.logf("runner %s starts %s, whose cancelling was acknowledged %v ago; machines in touch: %v", x.runner.id, x.task, after.Round(time.Millisecond), inTouch)
	if after > cancelBound && inTouch {
		c.late++
	}
}

// tick looks for tasks of cancelled jobs that run on after a stretch of cancelBound and stopBound in which
// the cancelling was acknowledged and no disruption was near.
func (c *cancelCheck) tick() {
	for _, r := range c.w.runners {
		for _, x := range r.runs {
			from := x.job.cancelled
			if from.IsZero() || c.seen[x.task] {
				continue
			}
			if calm := c.lostEnd.Add(contactTimeout); calm.After(from) {
				from = calm
			}
			if time.Since(from) > cancelBound+stopBound {
				c.seen[x.task] = true
				c.runsOn++
				c.w.rec.logf("runner %s runs %s/%d on, whose cancelling was acknowledged %v ago; no disruption for %v",
					r.id, x.task, x.execution, time.Since(x.job.cancelled).Round(time.Millisecond), time.Since(c.lostEnd).Round(time.Millisecond))
			}
		}
	}
}

// submitOrCancel hands a job in once. If it is not accepted, the client gives up and cancels the job.
func (w *world) submitOrCancel(j *job, n int) {
	if w.submitOnce(j, n) {
		return
	}
	for try := range 4 {
		status, _ := w.call(w.vms[(n+1+try)%len(w.vms)], http.MethodDelete, j.queue.prefix()+j.ID, nil)
		if (status >= 200 && status < 300) || status == http.StatusGone {
			w.mu.Lock()
			j.cancelled = time.Now()
			w.mu.Unlock()
			return
		}
	}
}
