package cell

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the settings of a deployment that the scheduler needs.
type Config struct {
	// Lease is how long runs continue after the last lease renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a runner grants, whatever an order asks for.
	MaxLease time.Duration
	// OrderTimeout is how long the caller waits for the answer to an order.
	OrderTimeout time.Duration
	// InheritedRunTimeout bounds how long, counted from the takeover, a runner that cannot
	// be reached may still execute runs that an earlier scheduler started.
	InheritedRunTimeout time.Duration
	// LateCallLimit is how long after it was sent a call without an answer may still be carried out.
	LateCallLimit time.Duration
	// FirstExecution is greater than every execution number that earlier schedulers used.
	FirstExecution int64
	// RemoteFactor is the slowdown of tasks that run outside the rack of their data or
	// gang. Placement does not read it: it prefers the rack of the data, and keeps a gang
	// with SameRack within one rack, whatever the slowdown.
	RemoteFactor float64
}

// leaseMargin covers a runner clock that is up to 2% slow, and the network delay of an
// order.
func leaseMargin(lease time.Duration) time.Duration {
	return lease/40 + 300*time.Millisecond
}

// Cell is the state of the scheduler.
type Cell struct {
	cfg        Config
	takeoverAt time.Time
	// rank returns the rank of a startable group and the time until which it is valid. The
	// group with the lowest rank is placed first. Tests replace it.
	rank   func(c *Cell, g *group, now, wall time.Time) (float64, time.Time)
	queues map[string]*Queue
	// servedQueueNames holds the names of the queues that have had a job.
	servedQueueNames map[string]bool
	// unrouted holds, by name, the queues of jobs whose queue was not configured when they were added.
	unrouted map[string][]*unroutedQueue
	jobs     map[string]*Job
	// accounts holds the client accounts by name; it is empty if the deployment has none.
	accounts map[string]*account
	// unattributed counts runs whose account is not known; they count for each account.
	unattributed account
	runners      map[string]*runner
	// poolSpeeds holds what is known about the speeds in each pool, as of the last of the computations of which the next
	// is due at nextSpeeds; see runnerspeed.go. speedOff turns all of it off in tests that compare decisions.
	poolSpeeds   map[string]*poolSpeed
	nextSpeeds   time.Time
	slowRunners  int
	fastRunners  int
	lastSampleID int64
	speedOff     bool
	speed        speedDecision
	stragglers   stragglers
	// removedTokens holds the tokens of removed runners; they may come back under their ids.
	removedTokens map[string]int64
	// unsettled holds the start orders that runners may still carry out, by task.
	unsettled map[TaskRef][]*unsettledStart
	// attempts counts the start orders that were sent, and repeats holds the runs whose orders are to be sent again.
	attempts int
	repeats  []*Run
	// leastClaims knows the least capacity that recent starts took.
	leastClaims leastClaims
	// unsettledVersion changes with them.
	unsettledVersion int
	// sortedRunners lists the runners by id, so that decisions do not depend on map order.
	sortedRunners []*runner
	// decision is the number of the decision in progress, or of the last one.
	decision int
	// newlyStartable holds the groups that became startable since the last decision.
	newlyStartable []*group
	backlog        backlog
	// entitledStarts is the CPU of the starts per second that are no excess, and entitledMilliCPU that of those that the
	// rate does not contain yet.
	entitledStarts   movingRate
	entitledMilliCPU int64
	// poolRooms holds what the decision in progress knows of the pools that leavesRoom has looked at.
	poolRooms map[string]*poolRoom
	// openExcess counts the excess jobs that have not ended.
	openExcess int
	// unmetered holds the jobs of accounts that the meters have not counted yet.
	unmetered []*Job
	// timed holds the jobs whose next occurrence is opened when it is due.
	timed timedJobs
	free  freeIndex
	// reservingGangs holds the gangs that have reserved capacity.
	reservingGangs []*group
	// approvalShares holds, by queue, the share of the named runners that the advisor
	// approves.
	approvalShares map[string]float64
	// freedCPU is the rate at which ending runs free CPU.
	freedCPU movingRate
	// starts is the rate of starts, and lookaheadTasks the number of waiting tasks within the
	// look-ahead that the decision in progress has visited.
	starts         startRate
	lookaheadTasks int
	// nameOrder is the order in which the decision in progress names runners to the advisor.
	nameOrder nameOrder
	// candidateBuf is a buffer that is reused from group to group.
	candidateBuf []*runner
	// indexBuilds counts how often the index free was rebuilt. lastGroupNumber is the
	// sequence number of the group that became startable last.
	indexBuilds, lastGroupNumber int
	stops                        []StopOrder
	paces                        []PaceOrder
	dirty                        map[string]*Job
	// lastUpdate is the time of the last call of Tick or HandleReport.
	lastUpdate   time.Time
	reportCounts ReportCounts
	// inheritedRunsKnown is set once every run of an earlier scheduler that may still exist
	// is known.
	inheritedRunsKnown bool
	// inheritedRoster holds the runners on which an earlier scheduler may have started runs; nil if
	// that is not known.
	inheritedRoster map[string]bool
	// openJobs counts the jobs that have not ended. memoryBytes is the estimated memory of
	// all known jobs.
	openJobs     int
	memoryBytes  int64
	finishedJobs windowedRate
	// maxStarts is how many starts one decision may order.
	maxStarts int
	// startsPaused tells that no starts may be ordered at present; startsHeldBack that the
	// decision in progress held back a start because of maxStarts.
	startsPaused, startsHeldBack bool
	// promotionBudget is how much work of starved groups may be promoted, in milli-CPU
	// seconds, as of promotionRefilledAt.
	promotionBudget     float64
	promotionRefilledAt time.Time
	// cachedWaits holds the expected waits by queue, cachedPending the numbers of pending jobs and
	// cachedAccounts the load by account, computed at cachedWaitsAt. Callers
	// share them, so they are replaced and never changed.
	cachedWaits    map[string]time.Duration
	cachedPending  map[string]int
	cachedAccounts *AccountLoads
	cachedWaitsAt  time.Time
	// nextScan is when Tick checks all runs again.
	nextScan time.Time
	// storedRosterStale tells whether the store lists a runner that was removed.
	storedRosterStale bool
	interference      interference
	events            []Event
}

// New returns an empty cell; now is the time of the takeover.
func New(now time.Time, cfg Config) *Cell {
	return &Cell{
		cfg: cfg, takeoverAt: now, lastUpdate: now, rank: rankOf, maxStarts: MaxStartsPerDecision,
		queues:           make(map[string]*Queue),
		servedQueueNames: make(map[string]bool),
		unrouted:         make(map[string][]*unroutedQueue),
		jobs:             make(map[string]*Job),
		accounts:         make(map[string]*account),
		runners:          make(map[string]*runner), removedTokens: make(map[string]int64), unsettled: make(map[TaskRef][]*unsettledStart),
		poolSpeeds: make(map[string]*poolSpeed),
		starts:     startRate{byPriority: make(map[int]*movingRate)},
		dirty:      make(map[string]*Job), approvalShares: make(map[string]float64),
		interference: newInterference(now),
	}
}

// SetMaxStarts limits the starts that the next decisions may order to what the caller can send
// soon. Tasks beyond it wait in the backlog, where more urgent ones may still overtake them. A
// gang is started as a whole if the limit is not reached before it.
func (c *Cell) SetMaxStarts(n int) {
	c.maxStarts, c.startsPaused = max(0, min(n, MaxStartsPerDecision)), false
}

// PauseStarts makes the next decisions order no starts until SetMaxStarts is called. That says nothing
// about how many starts the caller can send.
func (c *Cell) PauseStarts() { c.maxStarts, c.startsPaused = 0, true }

// SetQueues replaces the queue policies. Jobs of a removed queue keep its last policy.
func (c *Cell) SetQueues(queues []Queue) {
	for i := range queues {
		q := queues[i]
		for _, u := range c.unrouted[q.Name] {
			*u.queue, u.assumed = q, false
		}
		if old := c.queues[q.Name]; old != nil {
			*old = q
			continue
		}
		c.queues[q.Name] = &q
	}
	c.backlog.ranksStale = true
}

// scanInterval is how often Tick checks all runs for time limits that have passed. It is
// short compared with every time limit of a run.
const scanInterval = 50 * time.Millisecond

// Tick gives up runs whose leases have expired, repeats stop orders that got no answer, and
// stops stalled runs and gangs that did not assemble in time. It looks at the runs at most
// once per scanInterval.
func (c *Cell) Tick(now time.Time) {
	c.lastUpdate = now
	if now.Before(c.nextScan) {
		return
	}
	c.nextScan = now.Add(scanInterval)
	c.expireUnsettledStarts(now)
	c.refreshSpeeds(now)
	c.forgetPairs(now)
	for _, r := range c.sortedRunners {
		c.giveUpSilentRunner(now, r)
		c.retryStops(now, r)
		c.stopStalledRuns(now, r)
	}
	if !c.inheritedRunsKnown {
		c.checkInheritedRuns(now)
	}
}

// loseRuns treats some runs of a runner as lost, after their leases have expired or another runner has taken its
// address.
func (c *Cell) loseRuns(now time.Time, r *runner, runs []*Run, reason string) {
	if len(runs) > 0 {
		c.event(Event{Kind: EventRunnerLeasesLapsed, Runner: r.info.ID, Count: len(runs), Detail: reason})
	}
	for _, run := range runs {
		c.handleLostRun(now, r, run, reason)
	}
}

// sortedRuns returns the runs by task and execution, so that decisions do not depend on map
// order. The slice is cached until a run is added or removed, which most reports do not do;
// callers must not change it.
func (r *runner) sortedRuns() []*Run {
	if r.sortedCache != nil || len(r.runs) == 0 {
		return r.sortedCache
	}
	r.sortedCache = make([]*Run, 0, len(r.runs))
	for _, run := range r.runs {
		r.sortedCache = append(r.sortedCache, run)
	}
	slices.SortFunc(r.sortedCache, func(a, b *Run) int {
		return cmp.Or(a.Task.compare(b.Task), cmp.Compare(a.Execution, b.Execution))
	})
	return r.sortedCache
}
