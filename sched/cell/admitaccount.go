package cell

import (
	"math"
	"time"

	"rhubarbstall.example/sched/model"
)

// Admission by account: in a burst of one account, the jobs of the others must be admitted as if there were no burst. A
// new job waits for its own account's work, and for that of the others only as far as their shares go while its own is
// served. What an account submits beyond its weight is rejected first.

// AccountLoads is the load by client account. Its maps hold only what may lead to a rejection.
type AccountLoads struct {
	// Waits holds, by account and queue, how long a new job that is no excess is expected to wait, in milliseconds.
	// Queues with a wait of at most minRejectedWait are left out. The account of jobs that belong to none is "".
	Waits map[string]map[string]int64 `json:"waits,omitempty"`
	// Excess holds the accounts whose excess is to be rejected.
	Excess map[string]AccountExcess `json:"excess,omitempty"`
}

// AccountExcess is what an account submits beyond its weight while queues have an expected wait.
type AccountExcess struct {
	// Share is the share of the account's jobs that is excess.
	Share float64 `json:"share"`
	// RetryMS is how long it takes to serve the account's waiting jobs at its weight, in milliseconds.
	RetryMS int64 `json:"retry_ms"`
	// Waits holds, by queue, how long an excess job of the account is expected to wait, in milliseconds. Queues with a wait
	// of at most minRejectedWait are left out.
	Waits map[string]int64 `json:"waits"`
}

// rejectAllExcessWait is the expected wait from which on all excess is rejected. Below it the share grows from 0 at
// minRejectedWait: with a single threshold, VMs that learn of the load once a second would admit all excess in one second and
// none in the next.
const rejectAllExcessWait = time.Second

// excessOf returns the share of an account's jobs for a queue that is rejected as excess, and when to retry.
func (l *Load) excessOf(account, queue string) (float64, time.Duration) {
	if l.Accounts == nil {
		return 0, 0
	}
	x := l.Accounts.Excess[account]
	wait := time.Duration(x.Waits[queue]) * time.Millisecond
	ramp := float64(wait-minRejectedWait) / float64(rejectAllExcessWait-minRejectedWait)
	return min(max(x.Share, 0), maxExcessShare) * min(max(ramp, 0), 1), time.Duration(x.RetryMS) * time.Millisecond
}

// expectedWait returns how long a new job of an account that is no excess is expected to wait.
func (l *Load) expectedWait(account, queue string) time.Duration {
	if l.Accounts == nil {
		return l.ExpectedWaits[queue]
	}
	return time.Duration(l.Accounts.Waits[account][queue]) * time.Millisecond
}

// MayReject reports whether some jobs of an account for a queue are rejected because of their wait.
func (l *Load) MayReject(account, queue string) bool {
	excess, _ := l.excessOf(account, queue)
	return excess > 0 || l.expectedWait(account, queue) > 0
}

// accountWork is the waiting work of one list that can still end in time, by priority.
type accountWork struct {
	weight           float64
	entitled, excess map[int]float64
	// maxRate is the rate at which the account's limit lets its work be served at most; infinite without a limit.
	maxRate float64
}

// waitingWork sums, for each list, what the groups that pass the filter wait for.
func (c *Cell) waitingWork(amount func(g *group) float64) []accountWork {
	out := make([]accountWork, len(c.backlog.lists))
	for i, l := range c.backlog.lists {
		w := accountWork{weight: c.weightOf(l.account), entitled: make(map[int]float64), excess: make(map[int]float64), maxRate: math.Inf(1)}
		for _, g := range l.ordered {
			if g.tier > atRisk || g.spec.LongRunning || !g.hasWaitingTasks() {
				continue
			}
			if g.job.excess {
				w.excess[g.queue.Priority] += amount(g)
			} else {
				w.entitled[g.queue.Priority] += amount(g)
			}
		}
		out[i] = w
	}
	return out
}

// upTo sums the work of the given and the more urgent priorities.
func upTo(work map[int]float64, priority int) float64 {
	sum := 0.0
	for p, w := range work {
		if p <= priority {
			sum += w
		}
	}
	return sum
}

// priorityWork is the work of one list of the given and the more urgent priorities.
type priorityWork struct {
	weight, maxRate, entitled, excess float64
}

// workUpTo sums the work of each list up to a priority.
func workUpTo(lists []accountWork, priority int) []priorityWork {
	out := make([]priorityWork, len(lists))
	for i := range lists {
		w := &lists[i]
		out[i] = priorityWork{weight: w.weight, maxRate: w.maxRate, entitled: upTo(w.entitled, priority), excess: upTo(w.excess, priority)}
	}
	return out
}

// limitRounds is how often waitBehind applies the limits of the other accounts to the wait that follows from them. The wait only
// falls, so that fewer rounds leave it too long.
const limitRounds = 8

// waitsOf returns how many seconds a new job of a list's account waits for the work that goes before it, if that is served at a
// rate: its own, and that of each other account up to what that account gets by its weight while the own work is served. For an
// excess job, all entitled work goes before.
func waitsOf(lists []priorityWork, of int, rate float64) (entitledJob, excessJob float64) {
	own := &lists[of]
	entitledJob = waitBehind(lists, of, own.entitled, rate, func(other *priorityWork) float64 {
		return min(other.entitled, other.weight/own.weight*own.entitled)
	})
	excessJob = waitBehind(lists, of, own.entitled+own.excess, rate, func(other *priorityWork) float64 {
		return other.entitled + min(other.excess, other.weight/own.weight*own.excess)
	})
	return entitledJob, excessJob
}

// waitBehind returns the seconds until the own work and that of the other accounts is served. Of the latter only that counts which
// the limits of these accounts let run meanwhile: what a limit keeps from starting leaves the capacity free.
func waitBehind(lists []priorityWork, of int, own, rate float64, workOf func(other *priorityWork) float64) float64 {
	wait := math.Inf(1)
	for range limitRounds {
		work := own
		for i := range lists {
			if i != of {
				work += limitedWork(workOf(&lists[i]), lists[i].maxRate, wait)
			}
		}
		if next := work / rate; next < wait {
			wait = next
		}
	}
	return wait
}

func limitedWork(work, maxRate, wait float64) float64 {
	if math.IsInf(maxRate, 1) {
		return work
	}
	return min(work, maxRate*wait)
}

// maxRateOf returns the share of a pool that the limit of an account lets its tasks occupy; infinite without a limit.
func maxRateOf(a *account, capacity model.Resources) float64 {
	rate := math.Inf(1)
	if a == nil {
		return rate
	}
	for _, x := range [...]struct{ limit, capacity int64 }{
		{a.Limit.MilliCPU, capacity.MilliCPU}, {a.Limit.MemoryMB, capacity.MemoryMB}, {a.Limit.Accelerators, capacity.Accelerators},
	} {
		if x.limit > 0 && x.capacity > 0 {
			rate = min(rate, float64(x.limit)/float64(x.capacity))
		}
	}
	return rate
}

// accountLoads returns the load by account; nil if the deployment has no accounts.
func (c *Cell) accountLoads(now time.Time, pools map[string]*poolLoad) *AccountLoads {
	if len(c.accounts) == 0 {
		return nil
	}
	out := new(AccountLoads)
	waits, excessWaits := make([]map[string]int64, len(c.backlog.lists)), make([]map[string]int64, len(c.backlog.lists))
	c.addWaits(pools, func(queues []string, work []priorityWork, rate float64) {
		for i := range work {
			entitled, excess := waitsOf(work, i, rate)
			for _, q := range queues {
				waits[i] = addWait(waits[i], q, entitled)
				excessWaits[i] = addWait(excessWaits[i], q, excess)
			}
		}
	})
	for i, l := range c.backlog.lists {
		name := ""
		if l.account != nil {
			name = l.account.Name
			out.addExcess(now, l.account, excessWaits[i])
		}
		if waits[i] != nil {
			if out.Waits == nil {
				out.Waits = make(map[string]map[string]int64)
			}
			out.Waits[name] = waits[i]
		}
	}
	return out
}

// servedQueues returns the configured queues that have had a job, by pool and priority: queues of one priority have the same
// waits, and a configuration may have dozens of queues that nobody uses.
func (c *Cell) servedQueues() map[string]map[int][]string {
	queues := make(map[string]map[int][]string)
	for name, q := range c.queues {
		if !c.servedQueueNames[name] {
			continue
		}
		if queues[q.Pool] == nil {
			queues[q.Pool] = make(map[int][]string)
		}
		queues[q.Pool][q.Priority] = append(queues[q.Pool][q.Priority], name)
	}
	return queues
}

// addWaits passes the waiting work and the rate at which it is served to add, for the queues of each priority and each bound
// on the rate.
func (c *Cell) addWaits(pools map[string]*poolLoad, add func(queues []string, work []priorityWork, rate float64)) {
	served := c.servedQueues()
	for name, p := range pools {
		work := c.waitingWork(func(g *group) float64 {
			if g.job.Pool != name {
				return 0
			}
			return g.work(p)
		})
		for i := range work {
			work[i].maxRate = maxRateOf(c.backlog.lists[i].account, p.capacity)
		}
		for priority, queues := range served[name] {
			if rate := p.rate(priority); rate > 0 {
				add(queues, workUpTo(work, priority), rate)
			}
		}
	}
	if _, limited := c.startsWithin(c.lastUpdate, 0); !limited || c.starts.perSecond <= 0 {
		return
	}
	work := c.waitingWork(func(g *group) float64 { return float64(g.waitingTasks) })
	for _, byPriority := range served {
		for priority, queues := range byPriority {
			add(queues, workUpTo(work, priority), c.startRateOf(priority))
		}
	}
}

// addWait records a wait in milliseconds if it is the longest one of a queue and may lead to a rejection.
func addWait(waits map[string]int64, queue string, seconds float64) map[string]int64 {
	if seconds <= minRejectedWait.Seconds() {
		return waits
	}
	if waits == nil {
		waits = make(map[string]int64)
	}
	waits[queue] = max(waits[queue], int64(min(seconds, farFuture.Seconds())*1000))
	return waits
}

func (a *AccountLoads) addExcess(now time.Time, of *account, waits map[string]int64) {
	share := math.Round(of.meter.excessShare(now, of.Weight)*100) / 100
	// Without a weight nothing is excess; one that was removed may leave counts behind.
	if !of.meter.beyond || share == 0 || len(waits) == 0 || of.Weight <= 0 {
		return
	}
	if a.Excess == nil {
		a.Excess = make(map[string]AccountExcess)
	}
	// The quotient for a tiny weight exceeds what an integer holds.
	retry := min(float64(of.waitingJobs)/of.Weight, maxRetryAfter.Seconds())
	a.Excess[of.Name] = AccountExcess{Share: share, RetryMS: int64(retry * 1000), Waits: waits}
}
