package engine

import (
	"container/heap"
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/sched/queue"
)

// Decide starts the waiting tasks that fit, in the service order of the class
// queues. For tasks that fit on no worker it may preempt other tasks or reserve a
// worker, see makeRoom.
func (e *Engine) Decide(now time.Time, limit int) model.Decisions {
	now = e.monotonic(now)
	e.quotas.SetCapacity(e.cache.Capacity())
	e.headroom.Update(now)
	wake := earliest(e.queue.ReleaseDelayed(now), e.startProbes(now))
	wake = earliest(wake, e.refreshReservations(now))
	d := model.Decisions{Starts: e.takeOutbox(now, limit)}
	if len(d.Starts) < limit {
		r := &round{now: now, startLimit: limit - len(d.Starts)}
		e.replanReservation(r)
		e.serveClassQueues(r)
		d.Starts = append(d.Starts, r.starts...)
		d.Starts = append(d.Starts, e.takeOutbox(now, limit-len(d.Starts))...)
	}
	wake = earliest(wake, e.repeatControls(now))
	if len(d.Starts) >= limit {
		wake = now
	} else if e.anyQueued() {
		// The service order and the reservations also change when only time passes.
		wake = earliest(wake, now.Add(recheckInterval))
	}
	d.Controls, e.controls = e.controls, nil
	d.WakeAt = wake
	return d
}

func (e *Engine) takeOutbox(now time.Time, limit int) []model.Start {
	usable := func(r *ledger.Run) bool {
		n := e.cache.Get(r.Worker)
		return n != nil && n.Registered && n.State == model.WorkerLive
	}
	return e.outbox.TakeUsable(e.jobs, limit, usable, func(r *ledger.Run) { e.Refused(now, r.Ref()) })
}

func (e *Engine) anyQueued() bool {
	for _, cq := range e.classQueues {
		if !cq.Empty() {
			return true
		}
	}
	return false
}

// round is one call of Decide.
type round struct {
	now time.Time
	// startLimit is the upper limit of len(starts). A gang lowers it, because its starts
	// go to the outbox but count as well.
	startLimit int
	starts     []model.Start
	// unplaceable holds the tasks for which no worker was found.
	unplaceable unplaceableTasks
	// task is the task being placed. It is a field because plugins take a pointer,
	// which would otherwise cause an allocation for each task.
	task framework.Task
	// unpreemptable holds the tasks for which no preemption was possible.
	unpreemptable unplaceableTasks
	// These counters are compared with maxPreemptionsPerRound,
	// maxReservationsPerRound and maxFailedPlacements.
	preemptions, reservations, failedPlacements int
}

func (e *Engine) serveClassQueues(r *round) {
	h := make(classQueueHeap, 0, len(e.classQueues))
	for _, cq := range e.classQueues {
		cq.Compact()
		if cq.Empty() {
			continue
		}
		if entry, _ := cq.NextReady(0, r.now); entry == nil {
			continue
		}
		if cq.exhausted(e.capacityVersion, r.now) {
			continue
		}
		cq.scanPosition, cq.skippedJobs, cq.order = 0, 0, e.serviceOrder(cq, r.now)
		h = append(h, cq)
	}
	heap.Init(&h)
	for len(h) > 0 && r.startLimit > len(r.starts) && r.failedPlacements < maxFailedPlacements {
		cq := h[0]
		// Starts in this round can only move a class queue back in the service
		// order. If the key of the top queue is up to date, no other queue precedes it.
		if k := e.serviceOrder(cq, r.now); k != cq.order {
			cq.order = k
			heap.Fix(&h, 0)
			continue
		}
		if e.serveNextJob(r, cq) {
			heap.Fix(&h, 0)
		} else {
			heap.Pop(&h)
			cq.markExhausted(e.capacityVersion, r.now)
		}
	}
}

// serveNextJob tries to start a task, or a whole gang, of the next job of a class
// queue. It returns false if nothing more of the queue can start in this round.
func (e *Engine) serveNextJob(r *round, cq *classQueue) bool {
	entry, at := cq.NextReady(cq.scanPosition, r.now)
	if entry == nil {
		return false
	}
	cq.scanPosition = at
	first := cq.skippedJobs == 0
	ok := false
	if entry.Job.Type == model.Gang {
		ok = e.serveGang(r, entry)
	} else {
		r.task = e.nextTask(entry.Job)
		if _, allowed := e.profile.Permit(&r.task); !allowed {
			return false
		}
		ok = e.serveTask(r, cq, entry, &r.task, first)
	}
	if ok {
		return true
	}
	cq.scanPosition++
	cq.skippedJobs++
	r.failedPlacements++
	return cq.skippedJobs < maxSkippedJobs
}

// serveTask starts the next task of a job, or calls makeRoom if no worker fits. first
// means that no earlier job of the queue failed to be placed in this round.
func (e *Engine) serveTask(r *round, cq *classQueue, entry *queue.Entry, t *framework.Task, first bool) bool {
	hasReservation := len(stateOf(entry.Job).reservedNodes) > 0
	if !hasReservation && r.unplaceable.includes(t) {
		if first || cq.urgent() {
			e.makeRoom(r, cq, t)
		}
		return false
	}
	n := e.profile.Select(t, e.cache)
	if n == nil {
		if !hasReservation {
			r.unplaceable.add(t)
		}
		if first || cq.urgent() {
			e.makeRoom(r, cq, t)
		}
		return false
	}
	r.starts = append(r.starts, e.startTask(r.now, entry.Job, entry.Peek(r.now), t, n))
	return true
}

func (e *Engine) startTask(now time.Time, j *ledger.Job, index int, t *framework.Task, n *cache.Node) model.Start {
	st := stateOf(j)
	task := &j.TaskStates[index]
	waited := now.Sub(time.Unix(0, task.ReadyNanos))
	run := e.jobs.StartRun(now, j, index, n.ID, t.Size)
	e.attach(n, run)
	e.useReservation(st, n)
	if st.probing {
		st.probing, j.Parked = false, true
	}
	if j.Waiting == 0 {
		e.removeReservationsOf(j)
	}
	return model.Start{
		Placement:  run.Placement(),
		Kind:       j.Kind,
		Department: j.Department,
		RunTime:    t.RunTime,
		Checkpoint: task.Checkpoint,
		Waited:     waited,
	}
}
