package engine

import (
	"slices"
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/gang"
	"rhubarbstall.example/sched/ledger"
)

func (e *Engine) addReservation(n *cache.Node, res *cache.Reservation) {
	n.Reservation = res
	e.reservedNodes = append(e.reservedNodes, n)
	st := stateOf(res.Job)
	st.reservedNodes = append(st.reservedNodes, n)
}

func (e *Engine) removeReservation(n *cache.Node) {
	if n.Reservation == nil {
		return
	}
	st := stateOf(n.Reservation.Job)
	isNode := func(o *cache.Node) bool { return o == n }
	st.reservedNodes = slices.DeleteFunc(st.reservedNodes, isNode)
	e.reservedNodes = slices.DeleteFunc(e.reservedNodes, isNode)
	n.Reservation = nil
	e.capacityVersion++
}

// removeReservationsOf removes all reservations of a job.
func (e *Engine) removeReservationsOf(j *ledger.Job) {
	st := stateOf(j)
	for len(st.reservedNodes) > 0 {
		e.removeReservation(st.reservedNodes[len(st.reservedNodes)-1])
	}
	if e.reservedGang == j {
		e.reservedGang = nil
	}
}

// useReservation removes one reservation of a job after a task of it started on n:
// the one on n or, if the task started elsewhere, the oldest one.
func (e *Engine) useReservation(st *jobState, n *cache.Node) {
	if len(st.reservedNodes) == 0 {
		return
	}
	if n.Reservation == nil || stateOf(n.Reservation.Job) != st {
		n = st.reservedNodes[0]
	}
	e.removeReservation(n)
}

// refreshReservations removes reservations that expired or whose worker is
// unusable, and postpones those of single tasks whose expected start has passed. It
// returns the time of the next expiry or expected start.
func (e *Engine) refreshReservations(now time.Time) time.Time {
	var next time.Time
	for _, n := range slices.Clone(e.reservedNodes) {
		res := n.Reservation
		switch {
		case !n.Usable() || !res.ExpiresAt.IsZero() && !res.ExpiresAt.After(now):
			e.removeReservation(n)
			continue
		case res.ExpiresAt.IsZero() && !res.ExpectedStart.After(now) && res.Job != e.reservedGang:
			p, ok := gang.EarliestPlan(now, []*cache.Node{n}, res.Size, 1, e.estimateEnd)
			if !ok {
				e.removeReservation(n)
				continue
			}
			res.ExpectedStart = p.Start
		}
		next = earliest(next, res.ExpiresAt)
		if res.ExpectedStart.After(now) {
			next = earliest(next, res.ExpectedStart)
		}
	}
	kept := e.preemptedRooms[:0]
	for _, m := range e.preemptedRooms {
		if m.expires.After(now) {
			m.unassigned = m.slots
			kept = append(kept, m)
		}
	}
	clear(e.preemptedRooms[len(kept):])
	e.preemptedRooms = kept
	return next
}

// reserveTask reserves the worker that can run a single task earliest. It does so only
// for urgent tasks, for kinds below their floor, and for jobs that have waited for half
// of their patience. Without a reservation, small tasks would take all capacity that
// becomes free and a large task would never start.
func (e *Engine) reserveTask(r *round, cq *classQueue, t *framework.Task) {
	perRound, divisor, perJob, interval := maxReservationsPerRound, reservedWorkersDivisor, 1, planInterval
	if t.BelowFloor {
		perRound, divisor, perJob, interval = belowFloorReservationsPerRound, belowFloorReservedWorkersDivisor, belowFloorReservationsPerJob, belowFloorPlanInterval
	}
	if r.reservations >= perRound || len(e.reservedNodes) >= min(max(1, e.cache.WorkerCount()/divisor), maxReservedWorkers) {
		return
	}
	st := stateOf(t.Job)
	late := r.now.Sub(t.Job.Submitted) > cq.Policy.Patience/2
	if !late && !t.BelowFloor && !t.Urgent || len(st.reservedNodes) >= perJob {
		return
	}
	if r.now.Sub(st.plannedAt) < interval {
		return
	}
	st.plannedAt = r.now
	r.reservations++
	p, ok := e.planStart(t, 1)
	if !ok {
		return
	}
	e.addReservation(p.Assignments[0].Node, &cache.Reservation{Job: t.Job, Size: t.Size, ExpectedStart: p.Start, BlocksUrgent: t.BelowFloor})
}

// planStart finds the earliest start of a number of tasks. It considers workers
// with capacity reserved for urgent work only if the others cannot run the tasks.
func (e *Engine) planStart(t *framework.Task, tasks int) (gang.Plan, bool) {
	limit := maxGangPlanNodes
	if tasks == 1 {
		limit = maxTaskPlanNodes
	}
	p, ok := gang.EarliestPlan(e.lastNow, e.planCandidates(t, false, limit), t.Size, tasks, e.estimateEnd)
	if !ok {
		p, ok = gang.EarliestPlan(e.lastNow, e.planCandidates(t, true, limit), t.Size, tasks, e.estimateEnd)
	}
	return p, ok
}

// planCandidates returns workers without a reservation whose total capacity
// suffices for the task, up to the limit. Workers with capacity reserved for urgent
// work are left out unless includeUrgentReserve is set. Successive calls start at
// different workers.
func (e *Engine) planCandidates(t *framework.Task, includeUrgentReserve bool, limit int) []*cache.Node {
	all := e.cache.Nodes()
	if len(all) == 0 {
		return nil
	}
	from := 0
	if len(all) > limit {
		e.scanOffset += limit
		from = e.scanOffset % len(all)
	}
	var out []*cache.Node
	for i := range all {
		n := all[(from+i)%len(all)]
		if n.Usable() && !n.Quarantined && n.Reservation == nil && (includeUrgentReserve || n.UrgentReserve.IsZero()) && t.Size.Fits(n.Capacity) {
			if out = append(out, n); len(out) == limit {
				break
			}
		}
	}
	return out
}
