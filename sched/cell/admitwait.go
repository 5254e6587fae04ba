package cell

import (
	"hash/fnv"
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// Admission by wait rejects jobs that would end too late. In a burst of more work than the
// cell can do in the expected time, accepting all jobs would make all of them late, and
// later jobs as well. The wait of a new job is estimated from the work that is placed before
// it.

const (
	// cachedWaitsMaxAge is how long the expected waits are reused, because computing them
	// visits all waiting groups.
	cachedWaitsMaxAge = 200 * time.Millisecond
	// minPriorityShare is the minimum share of the capacity left by more urgent work that a
	// priority is assumed to get. If a queue had little work recently, the capacity that it
	// uses now understates the capacity that it could get.
	minPriorityShare = 0.5
	// The share of rejected jobs grows from 0, at an expected wait of rejectFirstFactor times
	// what the job can afford, to 1 at rejectAllFactor times. With a single threshold, the
	// VMs, which learn of the load only once a second, would alternate between accepting all
	// jobs and none. A job with an expected wait above what it can afford may still end in
	// time, because some of the work before it becomes late and is placed behind it.
	rejectFirstFactor = 1.2
	rejectAllFactor   = 2.0
	// minStartShare is the minimum share of the starts that a priority is assumed to get while
	// more urgent work takes all of them.
	minStartShare = 0.05
	// minRejectedWait is the expected wait up to which no job is rejected, since the
	// estimate is not precise enough.
	minRejectedWait = 300 * time.Millisecond
)

// Admission tells whether a job may be accepted. A rejected job has not run and will not run.
type Admission struct {
	Admitted bool
	// Excess tells that the job is rejected because its account submits more than its weight.
	Excess bool
	// RetryAfter is how long the caller of a rejected job should wait before a retry.
	RetryAfter time.Duration
	// AdmittedShare is the share of such jobs that is admitted.
	AdmittedShare float64
}

// AdmitsByWait tells whether a new job of an account for a queue may be accepted, given its expected
// wait. For the same id and load the answer is the same.
func (l Load) AdmitsByWait(q *Queue, account string, spec *Spec, id string) Admission {
	excess, excessRetry := l.excessOf(account, q.Name)
	rejected, retry := l.rejectedByWait(q, account, spec)
	a := Admission{AdmittedShare: (1 - excess) * (1 - rejected)}
	switch h := hashFraction(id); {
	case h < excess:
		a.Excess, a.RetryAfter = true, excessRetry
	case rejected > (h-excess)/(1-excess):
		a.RetryAfter = retry
	default:
		a.Admitted = true
		return a
	}
	a.RetryAfter = min(max(a.RetryAfter, minRetryAfter), maxRetryAfter)
	return a
}

// rejectedByWait returns the share of jobs without excess that is rejected because they would end too late, and when to
// retry.
func (l Load) rejectedByWait(q *Queue, account string, spec *Spec) (float64, time.Duration) {
	wait := l.expectedWait(account, q.Name)
	if wait <= minRejectedWait || spec.Repetitions > 0 {
		return 0, 0
	}
	if slices.ContainsFunc(spec.Steps, func(st Step) bool { return st.LongRunning }) {
		return 0, 0
	}
	j := &Job{Spec: *spec}
	j.measureChains()
	g := group{queue: q, job: j}
	affordable := max(g.expectedLatency()-j.longestChain(q.callTimePerStep()), minRejectedWait)
	share := (float64(wait)/float64(affordable) - rejectFirstFactor) / (rejectAllFactor - rejectFirstFactor)
	return min(max(share, 0), 1), wait - time.Duration(rejectFirstFactor*float64(affordable))
}

// hashFraction returns a number of at least 0 and below 1 that depends only on the id.
func hashFraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// The low bits of the hash depend on every byte of the id.
	return float64(h.Sum64()%1000) / 1000
}

// poolLoad is the capacity and the work of a pool's runners, by priority. Slow and fast runners count by their speed.
type poolLoad struct {
	capacity model.Resources
	// running is the share of the pool that runs work of a priority. waiting is the work
	// that waits and can still end in time, in seconds of the whole pool.
	running, waiting map[int]float64
}

// expectedWaits returns, by queue, how long a new job is expected to wait for the work
// before it: waiting work of its own and of more urgent priorities that can still end in
// time.
func (c *Cell) expectedWaits(pools map[string]*poolLoad) map[string]time.Duration {
	waits := make(map[string]time.Duration)
	c.addStartWaits(waits)
	for _, q := range c.queues {
		p := pools[q.Pool]
		if p == nil {
			continue
		}
		work, rate := upTo(p.waiting, q.Priority), p.rate(q.Priority)
		if rate <= 0 {
			continue
		}
		if wait := time.Duration(work / rate * float64(time.Second)); wait > minRejectedWait {
			waits[q.Name] = max(waits[q.Name], wait)
		}
	}
	return waits
}

// rate returns the share of the pool that serves work of a priority.
func (p *poolLoad) rate(priority int) float64 {
	moreUrgent := 0.0
	for other, share := range p.running {
		if other < priority {
			moreUrgent += share
		}
	}
	// The share of the pool that runs work of a priority is the rate at which that work
	// ends.
	return max(p.running[priority], minPriorityShare*(1-moreUrgent))
}

// startRateOf returns the starts per second that a priority gets while the starts are limited.
func (c *Cell) startRateOf(priority int) float64 {
	moreUrgent := 0.0
	for other, rate := range c.starts.byPriority {
		if other < priority {
			moreUrgent += rate.perSecond
		}
	}
	return max(c.starts.perSecond-moreUrgent, minStartShare*c.starts.perSecond)
}

// addStartWaits adds, by queue, how long a new job is expected to wait until the starts before it
// are sent, if these are limited. Runners may be free all the while.
func (c *Cell) addStartWaits(waits map[string]time.Duration) {
	if _, limited := c.startsWithin(c.lastUpdate, 0); !limited || c.starts.perSecond <= 0 {
		return
	}
	waiting := make(map[int]float64)
	for _, g := range c.backlog.ordered() {
		if g.servedInTime() && !g.spec.LongRunning && g.hasWaitingTasks() {
			waiting[g.queue.Priority] += float64(g.waitingTasks)
		}
	}
	for _, q := range c.queues {
		tasks := upTo(waiting, q.Priority)
		if wait := time.Duration(tasks / c.startRateOf(q.Priority) * float64(time.Second)); wait > minRejectedWait {
			waits[q.Name] = wait
		}
	}
}

func (c *Cell) poolLoads() map[string]*poolLoad {
	pools := make(map[string]*poolLoad)
	for _, r := range c.sortedRunners {
		if !r.listed || !r.reported || r.suspect {
			continue
		}
		p := pools[r.info.Pool]
		if p == nil {
			p = &poolLoad{running: make(map[int]float64), waiting: make(map[int]float64)}
			pools[r.info.Pool] = p
		}
		p.capacity = p.capacity.Add(r.effective(r.info.Capacity))
	}
	for _, r := range c.sortedRunners {
		p := pools[r.info.Pool]
		if p == nil {
			continue
		}
		for _, run := range r.runs {
			if run.group != nil {
				p.running[run.group.queue.Priority] += r.effective(run.claimed).DominantShare(p.capacity)
			}
		}
	}
	for _, g := range c.backlog.ordered() {
		if p := pools[g.job.Pool]; p != nil && g.servedInTime() && !g.spec.LongRunning && g.hasWaitingTasks() {
			p.waiting[g.queue.Priority] += g.work(p)
		}
	}
	return pools
}

// work returns the waiting work of a group in seconds of a whole pool.
func (g *group) work(p *poolLoad) float64 {
	return float64(g.waitingTasks) * g.claim().DominantShare(p.capacity) * g.spec.Estimate.Seconds()
}
