package engine

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/gang"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/queue"
)

// serveGang starts all waiting tasks of a gang at once, or plans a reservation if
// they do not fit.
func (e *Engine) serveGang(r *round, entry *queue.Entry) bool {
	j := entry.Job
	tasks, ready := entry.WaitingTasks(r.now)
	if !ready || len(tasks) == 0 {
		return false
	}
	t := e.nextTask(j)
	if _, ok := e.profile.Permit(&t); !ok {
		return false
	}
	nodes := e.placeGang(&t, len(tasks))
	if nodes == nil {
		e.reserveGang(r, &t, len(tasks))
		return false
	}
	for i, index := range tasks {
		s := e.startTask(r.now, j, index, &t, nodes[i])
		e.outbox.Put(j.TaskStates[index].Run, s)
	}
	e.removeReservationsOf(j)
	r.startLimit = max(r.startLimit-len(tasks), len(r.starts))
	return true
}

// placeGang returns a worker for each task, or nil if not all of them fit. It
// allocates resources to each task while it places the next ones, and releases
// all of them before it returns.
func (e *Engine) placeGang(t *framework.Task, tasks int) []*cache.Node {
	if need := t.Size.Scale(int64(tasks)); !need.Fits(e.cache.Capacity().Sub(e.cache.Allocated())) {
		return nil
	}
	var nodes []*cache.Node
	var trial []*ledger.Run
	for range tasks {
		n := e.profile.Select(t, e.cache)
		if n == nil {
			break
		}
		run := &ledger.Run{Job: t.Job, Worker: n.ID, Size: t.Size}
		e.cache.Attach(n, run)
		nodes, trial = append(nodes, n), append(trial, run)
	}
	for i := len(trial) - 1; i >= 0; i-- {
		e.cache.Detach(nodes[i], trial[i])
	}
	if len(nodes) < tasks {
		return nil
	}
	return nodes
}

// reserveGang reserves workers for the start of a gang, unless another gang has a
// reservation. It plans again at most once per planInterval, because attempts end
// earlier or later than estimated.
func (e *Engine) reserveGang(r *round, t *framework.Task, tasks int) {
	st := stateOf(t.Job)
	if e.reservedGang != nil && e.reservedGang != t.Job || r.now.Sub(st.plannedAt) < planInterval {
		return
	}
	continued := e.reservedGang == t.Job
	e.removeReservationsOf(t.Job)
	st.plannedAt = r.now
	p, ok := e.planStart(t, tasks)
	if !ok || !continued && !e.mayBeginReservation(r, t, tasks, p) {
		return
	}
	e.reservedGang = t.Job
	for _, s := range p.Assignments {
		e.addReservation(s.Node, &cache.Reservation{Job: t.Job, Size: t.Size.Scale(int64(s.Tasks)), ExpectedStart: p.Start})
	}
}

// mayBeginReservation reports whether a new reservation for a gang is justified:
// the gang is urgent, it has waited for longer than a part of its patience, or the
// capacity left idle until its start is a small part of what the gang will use. The
// check does not apply to an existing reservation, since dropping it would lose the
// capacity that is already kept free.
func (e *Engine) mayBeginReservation(r *round, t *framework.Task, tasks int, p gang.Plan) bool {
	if t.Urgent || r.now.Sub(t.Job.Submitted) > t.Policy.Patience/gangDuePatienceDivisor {
		return true
	}
	return t.RunTime > 0 && p.IdleTime*gangIdleDivisor <= t.RunTime*time.Duration(tasks)
}

// replanReservation plans the existing gang reservation again after capacity
// became free, so that the gang can start earlier than planned.
func (e *Engine) replanReservation(r *round) {
	j := e.reservedGang
	if j == nil || e.plannedVersion == e.capacityVersion || r.now.Sub(stateOf(j).plannedAt) < e.replanInterval() {
		return
	}
	tasks := 0
	for i := range j.TaskStates {
		if j.TaskStates[i].Phase == ledger.Waiting {
			tasks++
		}
	}
	if tasks == 0 {
		e.removeReservationsOf(j)
		return
	}
	t := e.nextTask(j)
	stateOf(j).plannedAt = time.Time{}
	e.reserveGang(r, &t, tasks)
	e.plannedVersion = e.capacityVersion
}

// replanInterval returns the least time between two plans of the gang reservation.
// It limits the cost of planning in large zones, where many attempts end each second.
func (e *Engine) replanInterval() time.Duration {
	if e.cache.WorkerCount() <= maxGangPlanNodes {
		return 0
	}
	return time.Second
}
