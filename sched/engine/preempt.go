package engine

import (
	"cmp"
	"slices"
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// preemptedRoom is the capacity of one worker that preemption frees for the tasks
// of a class queue.
type preemptedRoom struct {
	queue *classQueue
	// slots is the number of tasks that fit, and unassigned the number of slots that are
	// not yet intended for a waiting task in this round.
	slots      int
	unassigned int
	expires    time.Time
}

// makeRoom makes room for a task that fits on no worker: by preemption if the task is
// urgent or its department is within its quota and there are suitable victims,
// otherwise by a reservation. It does nothing if an earlier preemption for the class
// queue frees enough.
func (e *Engine) makeRoom(r *round, cq *classQueue, t *framework.Task) {
	for _, m := range e.preemptedRooms {
		if m.queue == cq && m.unassigned > 0 {
			m.unassigned--
			return
		}
	}
	if r.preemptions < maxPreemptionsPerRound && !r.unpreemptable.includes(t) {
		r.preemptions++
		if e.preempt(r, cq, t) {
			return
		}
		r.unpreemptable.add(t)
	}
	e.reserveTask(r, cq, t)
}

// preemptionPlan is a set of attempts on one worker to stop so that a task fits.
type preemptionPlan struct {
	node    *cache.Node
	victims []*ledger.Run
	// lostWork is the sum of the work that the victims lose, see preemptible.
	lostWork float64
}

func (e *Engine) preempt(r *round, cq *classQueue, t *framework.Task) bool {
	var best *preemptionPlan
	examined := 0
	for _, o := range e.victimQueues(cq) {
		for i := 0; i < len(o.Runs) && examined < maxPreemptionNodes; i++ {
			e.scanOffset++
			n := e.cache.Get(o.Runs[e.scanOffset%len(o.Runs)].Worker)
			if n == nil || n.Reservation != nil || !n.Usable() || !t.Size.Fits(n.Capacity) {
				continue
			}
			examined++
			if p := e.planVictims(cq, t, n); p != nil && (best == nil || p.lostWork < best.lostWork) {
				best = p
			}
		}
	}
	if best == nil {
		return false
	}
	free := best.node.Free()
	for _, v := range best.victims {
		free = free.Add(v.Size)
		e.stopVictim(r.now, v, cq)
	}
	slots := int(ledger.FitCount(t.Size, free))
	e.preemptedRooms = append(e.preemptedRooms, &preemptedRoom{queue: cq, slots: slots, unassigned: slots - 1, expires: r.now.Add(preemptedRoomTimeout)})
	e.addReservation(best.node, &cache.Reservation{Job: t.Job, Size: t.Size, ExpectedStart: r.now, ExpiresAt: r.now.Add(preemptedRoomTimeout)})
	return true
}

// victimQueues returns the class queues whose attempts may be preempted for cq,
// the least urgent first.
func (e *Engine) victimQueues(cq *classQueue) []*classQueue {
	entitled := !cq.order.overQuota
	var out []*classQueue
	for _, o := range e.classQueues {
		s := o.Policy.Sacrifice
		if len(o.Runs) == 0 || !s.Checkpoint && !s.Preempt && !s.Drop {
			continue
		}
		urgent := cq.urgent() && cq.Policy.Urgency >= o.Policy.Urgency+preemptionUrgencyGap
		if urgent || entitled && o.QuotaNode.BorrowsFrom(cq.QuotaNode) {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b *classQueue) int { return cmp.Compare(a.Policy.Urgency, b.Policy.Urgency) })
	return out
}

// planVictims chooses the attempts on worker n to stop for a task, those that lose
// the least work first. It returns nil if stopping all permitted attempts does not
// free enough.
func (e *Engine) planVictims(cq *classQueue, t *framework.Task, n *cache.Node) *preemptionPlan {
	free := n.Free()
	type candidate struct {
		run  *ledger.Run
		lost float64
	}
	var list []candidate
	for _, v := range n.Runs {
		if v.Stopping {
			free = free.Add(v.Size)
			continue
		}
		if lost, ok := e.preemptible(cq, v); ok {
			list = append(list, candidate{v, lost})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.lost, b.lost) })
	p := &preemptionPlan{node: n}
	for _, c := range list {
		if t.Size.Fits(free) {
			break
		}
		free = free.Add(c.run.Size)
		p.victims = append(p.victims, c.run)
		p.lostWork += c.lost
	}
	if !t.Size.Fits(free) {
		return nil
	}
	return p
}

// preemptible reports whether attempt v may be stopped for class queue cq, and the
// work that would be lost: the dominant share of the attempt times its run time,
// reduced if it saves checkpoints.
func (e *Engine) preemptible(cq *classQueue, v *ledger.Run) (lost float64, ok bool) {
	o := stateOf(v.Job).queue
	s := o.Policy.Sacrifice
	saves := s.Checkpoint && v.Job.Checkpointing
	if v.Job.TaskStates[v.Index].Phase != ledger.Running {
		// The start is not confirmed, so the worker may not know the attempt yet.
		return 0, false
	}
	if v.Job.NoRepeat || !saves && !s.Preempt && !s.Drop {
		return 0, false
	}
	urgent := cq.urgent() && cq.Policy.Urgency >= o.Policy.Urgency+preemptionUrgencyGap
	if !urgent && (cq.order.overQuota || !o.QuotaNode.BorrowsFrom(cq.QuotaNode)) {
		return 0, false
	}
	total := e.cache.Capacity()
	if f := o.floorPercent(e.lastNow); f > 0 {
		rest := o.kind.inUse.Sub(v.Size).DominantShare(total)
		if 100*rest < float64(f) {
			return 0, false
		}
	}
	lost = v.Size.DominantShare(total) * (1 + e.lastNow.Sub(v.StartedAt).Seconds())
	if saves {
		// With a checkpoint only the cost of saving and loading it is lost.
		lost *= 0.05
	}
	return lost, true
}

func (e *Engine) stopVictim(now time.Time, v *ledger.Run, cq *classQueue) {
	s := stateOf(v.Job).queue.Policy.Sacrifice
	reason := "Stopped for " + cq.Kind + " of " + cq.Department + ", as its policy allows."
	switch {
	case s.Checkpoint && v.Job.Checkpointing:
		e.sendControl(now, v, model.ActionCheckpoint, reason)
	case s.Preempt:
		e.sendControl(now, v, model.ActionStop, reason)
	default:
		v.FailOnStop = true
		e.sendControl(now, v, model.ActionStop, reason)
	}
}
