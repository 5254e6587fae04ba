package engine

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/estimate"
	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/health"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/sched/plugins"
	"rhubarbstall.example/sched/queue"
	"rhubarbstall.example/sched/quota"
)

// Engine implements model.Engine.
type Engine struct {
	policies    model.Policies
	jobs        *ledger.JobTable
	cache       *cache.Cache
	queue       *queue.Queue
	quotas      *quota.Tree
	kindUsages  map[string]*kindUsage
	classQueues []*classQueue
	estimates   *estimate.Kinds
	health      *health.Tracker
	profile     *framework.Profile
	headroom    *plugins.Headroom
	outbox      ledger.Outbox
	controls    []model.Control
	stopsSent   []sentStop
	// reservedNodes lists the workers with a reservation, the oldest reservation first.
	reservedNodes  []*cache.Node
	preemptedRooms []*preemptedRoom
	// reservedGang is the gang whose start is reserved; nil if there is none. A zone
	// reserves for one gang at a time.
	reservedGang *ledger.Job
	// capacityVersion is incremented when capacity may have become free.
	// plannedVersion is its value when the gang reservation was last planned.
	capacityVersion uint64
	plannedVersion  uint64
	// scanOffset is where the next bounded search starts in a list of workers or attempts.
	// It advances, so that successive searches examine different parts of the list.
	scanOffset int
	// lastNow is the latest time passed to any call, see monotonic.
	lastNow time.Time
}

var _ model.Engine = (*Engine)(nil)

// New returns an engine without workers, jobs and policies.
func New() *Engine {
	c := cache.New()
	headroom := plugins.NewHeadroom(c)
	return &Engine{
		jobs:       ledger.NewJobTable(),
		cache:      c,
		queue:      queue.New(),
		quotas:     quota.NewTree(),
		kindUsages: map[string]*kindUsage{},
		estimates:  estimate.New(),
		health:     health.New(),
		headroom:   headroom,
		profile: framework.NewProfile(
			plugins.Fit{},
			plugins.Health{},
			headroom,
			plugins.Reservation{},
			plugins.BestFit{},
			plugins.RackSpread{},
			plugins.Accelerator{},
		),
	}
}

// monotonic returns now, or the latest time seen if now is earlier. If time went
// backwards, tasks that were ready would no longer be ready and would be dropped
// from their class queue.
func (e *Engine) monotonic(now time.Time) time.Time {
	if now.Before(e.lastNow) {
		return e.lastNow
	}
	e.lastNow = now
	return now
}

// SetPolicies replaces the policies. They apply from the next decision on.
func (e *Engine) SetPolicies(_ time.Time, p model.Policies) {
	e.policies = p
	if p != nil {
		e.quotas.Configure(p.Departments())
	}
	for _, cq := range e.classQueues {
		cq.Policy = e.policy(cq.Department, cq.Kind)
	}
}

func (e *Engine) policy(department, kind string) model.Policy {
	p := model.Policy{MaxAttempts: 1}
	if e.policies != nil {
		if found, ok := e.policies.Policy(department, kind); ok {
			p = found
		}
	}
	if p.Patience <= 0 {
		p.Patience = defaultPatience
	}
	return p
}

// UpsertWorker adds a worker or changes its capacity, rack or state.
func (e *Engine) UpsertWorker(now time.Time, w model.Worker) {
	e.monotonic(now)
	e.capacityVersion++
	e.cache.Upsert(w)
}

// RemoveWorker removes a worker and its health record. The caller reports Lost
// for its attempts.
func (e *Engine) RemoveWorker(now time.Time, id string) {
	e.monotonic(now)
	e.health.ForgetWorker(id)
	if n := e.cache.Get(id); n != nil {
		n.Quarantined, n.Probing = false, false
		e.removeReservation(n)
	}
	e.cache.Remove(id)
}
