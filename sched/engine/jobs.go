package engine

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// AddJob queues a job, or returns a *model.NeverFitsError if it can never run. A job
// whose ID is already known is ignored.
func (e *Engine) AddJob(now time.Time, j model.Job) error {
	now = e.monotonic(now)
	if e.jobs.Job(j.ID) != nil {
		return nil
	}
	if !e.fitsOneWorker(j) {
		if err := ledger.CheckFits(j, e.cache.Workers()); err != nil {
			return err
		}
	}
	if j.Submitted.IsZero() || j.Submitted.After(now) {
		j.Submitted = now
	}
	job, added := e.jobs.Add(j)
	if !added {
		return nil
	}
	cq := e.classQueueFor(j.Department, j.Kind)
	st := &jobState{queue: cq}
	if cq.Policy.SpreadRacks || j.Type == model.Service {
		st.tasksByRack = map[*cache.Rack]int{}
	}
	job.EngineState = st
	st.entry = e.queue.Add(cq.ClassQueue, job)
	return nil
}

// fitsOneWorker reports whether some worker has the capacity for a task of a job
// that is not a gang. In most cases this saves AddJob the check of all workers.
func (e *Engine) fitsOneWorker(j model.Job) bool {
	if j.Type == model.Gang {
		return false
	}
	for _, n := range e.cache.Nodes() {
		if n.Registered && j.Size.Fits(n.Capacity) {
			return true
		}
	}
	return false
}

// CancelJob drops the waiting tasks of a job and returns the attempts to stop.
func (e *Engine) CancelJob(now time.Time, id string) []model.Placement {
	now = e.monotonic(now)
	j := e.jobs.Job(id)
	if j == nil {
		return nil
	}
	stop, unsent := e.jobs.Cancel(now, id)
	e.releaseJob(j, unsent)
	return stop
}

// RemoveJob removes a finished job and its health record.
func (e *Engine) RemoveJob(id string) {
	if j := e.jobs.Job(id); j != nil {
		e.releaseJob(j, e.jobs.Remove(e.lastNow, id))
		e.health.ForgetJob(id)
	}
}

func (e *Engine) releaseJob(j *ledger.Job, unsent []*ledger.Run) {
	for _, r := range unsent {
		e.detach(r)
		e.capacityVersion++
	}
	e.removeReservationsOf(j)
}

// Adopt records an attempt that was found running on a worker. It returns false if the
// caller must stop the attempt.
func (e *Engine) Adopt(now time.Time, p model.Placement, age time.Duration) bool {
	now = e.monotonic(now)
	run, added := e.jobs.AdoptRun(now, p, age)
	if added {
		e.attach(e.cache.GetOrCreate(p.Worker), run)
	}
	return run != nil
}

// attach adds an attempt to the accounts of its node, class queue, kind and
// department; detach removes it.
func (e *Engine) attach(n *cache.Node, r *ledger.Run) {
	e.cache.Attach(n, r)
	cq := stateOf(r.Job).queue
	cq.AddRun(r)
	e.addUsage(n, r)
}

func (e *Engine) detach(r *ledger.Run) *cache.Node {
	n := e.cache.GetOrCreate(r.Worker)
	cq := stateOf(r.Job).queue
	e.removeUsage(n, r)
	cq.RemoveRun(r)
	e.cache.Detach(n, r)
	return n
}

func (e *Engine) addUsage(n *cache.Node, r *ledger.Run) {
	cq := stateOf(r.Job).queue
	e.quotas.AddUsage(cq.QuotaNode, r.Size)
	cq.kind.inUse = cq.kind.inUse.Add(r.Size)
	t := e.describeTask(r.Job)
	t.Size = r.Size
	e.profile.Reserve(&t, n)
}

func (e *Engine) removeUsage(n *cache.Node, r *ledger.Run) {
	cq := stateOf(r.Job).queue
	e.quotas.AddUsage(cq.QuotaNode, model.Resources{}.Sub(r.Size))
	cq.kind.inUse = cq.kind.inUse.Sub(r.Size)
	t := e.describeTask(r.Job)
	t.Size = r.Size
	e.profile.Release(&t, n)
}
