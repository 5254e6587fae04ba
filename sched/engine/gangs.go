package engine

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/gang"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/queue"
)

// serveGang starts all waiting tasks of a gang, or reserves their start.
func (e *Engine) serveGang(r *round, entry *queue.Entry) bool {
	j := entry.Job
	tasks, ready := entry.All(r.now)
	if !ready || len(tasks) == 0 {
		return false
	}
	t := e.nextTask(j)
	nodes := e.findGang(&t, len(tasks))
	if nodes == nil {
		e.reserveGang(r, &t, len(tasks))
		return false
	}
	// One permit covers the gang: its size is that of all tasks together.
	all := t
	all.Size = t.Size.Scale(int64(len(tasks)))
	// A gang with the reservation has waited for its room, also for the part that
	// is otherwise kept for urgent work.
	if _, ok := e.profile.Permit(&all); !ok && e.reserved != j {
		e.reserveGang(r, &t, len(tasks))
		return false
	}
	for i, index := range tasks {
		s := e.start(r.now, j, index, &t, nodes[i])
		e.outbox.Put(j.State[index].Run, s)
	}
	e.dropHolds(j)
	r.left = max(r.left-len(tasks), len(r.starts))
	return true
}

// findGang returns a worker for each task, nil if not all fit. Every task takes
// room while the next one is placed; the room is returned before the result.
func (e *Engine) findGang(t *framework.Task, tasks int) []*cache.Node {
	if need := t.Size.Scale(int64(tasks)); !need.Fits(e.cache.Total().Sub(e.cache.Used())) {
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

// reserveGang plans the start of a gang if no other gang has the reservation of
// the zone. A plan whose start has passed is made again.
func (e *Engine) reserveGang(r *round, t *framework.Task, tasks int) {
	st := stateOf(t.Job)
	if e.reserved != nil && e.reserved != t.Job || r.now.Sub(st.plannedAt) < planEvery {
		return
	}
	if e.reserved == t.Job && len(st.holds) > 0 && st.holds[0].Hold.Start.After(r.now) {
		return
	}
	e.dropHolds(t.Job)
	st.plannedAt = r.now
	p, ok := gang.Make(r.now, e.planNodes(t), t.Size, tasks, e.end)
	if !ok {
		return
	}
	e.reserved = t.Job
	for _, s := range p.Shares {
		e.hold(s.Node, &cache.Hold{Job: t.Job, Need: t.Size.Scale(int64(s.Tasks)), Start: p.Start})
	}
}
