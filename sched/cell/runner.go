package cell

import (
	"cmp"
	"time"

	"rhubarbstall.example/sched/model"
)

// RunnerInfo is the entry that a runner publishes.
type RunnerInfo struct {
	ID      string
	Address string
	Pool    string
	Zone    string
	Rack    string
	Labels  []string
	// Capacity is what all tasks on the runner may use together.
	Capacity model.Resources
	Draining bool
	// Incarnation changes when the runner restarts; no run survives a restart. The tag is
	// the name in records and messages of earlier releases.
	Incarnation int64 `json:"Life"`
}

// runner is the scheduler's view of a runner.
type runner struct {
	info RunnerInfo
	// listed tells whether the runner has an entry.
	listed bool
	// inStoredRoster tells whether the store lists the runner, so that the next scheduler
	// asks it even if its entry has expired.
	inStoredRoster bool
	// reported tells whether this scheduler has received a report of the runner's present
	// incarnation.
	reported    bool
	incarnation int64
	// token is what calls to the runner carry now. fence is the token with which the present incarnation was noticed,
	// and fenced tells whether that has answered a call with it or a higher one; see fence.go.
	token, fence int64
	fenced       bool
	// unsettled holds the start orders that the runner may still carry out; see latecalls.go.
	unsettled []*unsettledStart
	// ackUnderWay tells that an acknowledgement of ends waits for its answer, and ackWaiting that one waits for the
	// answers to starts. Either holds back further starts.
	ackUnderWay, ackWaiting bool
	// ackAlong tells that a call which waits for a run to end acknowledges ends as well; it holds back no starts. ackToken
	// is the token of the last acknowledgement.
	ackAlong bool
	ackToken int64
	// ackLost tells that an acknowledgement got no answer and may still be on its way.
	ackLost bool
	// endsComplete tells whether a report of the present incarnation to this scheduler listed all ends
	// that were not acknowledged: a runner lists only maxEndsPerReport at a time.
	endsComplete bool
	// used is the sum of what the runs that may exist there claim.
	used model.Resources
	runs map[runKey]*Run
	// sortedCache holds the result of sortedRuns; nil if it has to be rebuilt.
	sortedCache []*Run
	// endOrderCache holds the result of byExpectedEnd; nil if it has to be rebuilt.
	endOrderCache []*Run
	// listedEnds is the number of ends in the last report, at most maxEndsPerReport.
	listedEnds int
	// lastEndNumber is the number of the last reported end that was handled.
	lastEndNumber int64
	// unsavedEnds holds the handled ends that may not be stored yet, in order.
	unsavedEnds []unsavedEnd
	// storedEndNumber is the highest end number that the runner may forget.
	storedEndNumber int64
	// sentAck is the highest end number that was acknowledged to the runner, and acknowledgedEnd the highest one
	// of which it has answered that.
	sentAck, acknowledgedEnd int64
	// suspect excludes the runner from new starts until its next report.
	suspect bool
	// quarantinedUntil excludes the runner from new starts until then.
	quarantinedUntil time.Time
	failuresInRow    int
	// leasesExpireAt is when the leases of all runs that were started there have expired.
	leasesExpireAt time.Time
	// leaseGrantedAt is when the last call that renews leases was sent.
	leaseGrantedAt time.Time
	lastReportAt   time.Time
	// lastReportSentAt is when the last report of the present incarnation was asked for.
	lastReportSentAt time.Time
	// endsAwaited tells whether the leases have expired and the ends of the runs are awaited.
	endsAwaited bool
	// available is the free capacity less the reservations of gangs, in the decision in
	// progress.
	available model.Resources
	speed     runnerSpeed
	// index is the runner's position in Cell.sortedRunners. cpuLevel and memoryLevel are
	// its levels in the index of free capacity.
	index, cpuLevel, memoryLevel int
	// prevFree, prevUsable and prevIncarnation are the values that the last decision found;
	// prevFree is reduced by the starts of that decision.
	prevFree   model.Resources
	prevUsable bool
	// inFreeIndex tells whether the index of free capacity reflects available.
	inFreeIndex     bool
	prevIncarnation int64
	// expectedMilliCPU is how much CPU may be started there once calls to the advisor are
	// answered.
	expectedMilliCPU int64
	// colocation sums up what runs there. interferenceGrade is how badly a task of the gang that was planned last fits
	// to that.
	colocation        colocation
	interferenceGrade int64
}

// availableAfterExpected returns the available capacity less the CPU that expected starts
// take.
func (r *runner) availableAfterExpected() model.Resources {
	left := r.available
	left.MilliCPU -= r.expectedMilliCPU
	return left
}

// byCPUAfterExpected orders runners by the CPU that is available after expected starts, the
// most first, and by id if that is equal.
func byCPUAfterExpected(a, b *runner) int {
	if d := cmp.Compare(b.available.MilliCPU-b.expectedMilliCPU, a.available.MilliCPU-a.expectedMilliCPU); d != 0 {
		return d
	}
	return a.index - b.index
}

// unsavedEnd is a reported end that the runner may forget once version of job is stored.
type unsavedEnd struct {
	number  int64
	job     *Job
	version int
}

func (r *runner) free() model.Resources { return r.info.Capacity.Sub(r.used) }

func (r *runner) hasLabel(l string) bool {
	for _, x := range r.info.Labels {
		if x == l {
			return true
		}
	}
	return false
}

// usable reports whether new tasks may start on the runner.
func (r *runner) usable(now time.Time) bool {
	return r.listed && r.inStoredRoster && r.reported && r.fenced && r.entryIsCurrent() && !r.suspect && !r.info.Draining && !now.Before(r.quarantinedUntil) &&
		r.listedEnds < maxListedEnds
}

// entryIsCurrent reports whether the known entry is that of the incarnation which reported last. A runner
// that restarted may have another capacity and other labels than the entry of its previous incarnation
// says. Entries of earlier releases in a stored roster may name no incarnation.
func (r *runner) entryIsCurrent() bool {
	return r.info.Incarnation == 0 || r.info.Incarnation == r.incarnation
}

// HasRuns reports whether a run may exist on a runner.
func (c *Cell) HasRuns(id string) bool {
	r := c.runners[id]
	return r != nil && len(r.runs) > 0
}
