package cell

import (
	"math/bits"
	"time"
)

// ticket is the advisor's permission to run a step on one incarnation of a runner.
type ticket struct {
	value       string
	incarnation int64
	// until is when the ticket may be used for the last time, and expiry when it has certainly expired.
	until, expiry time.Time
}

// advice is what the advisor has answered about the runners that may run a group.
type advice struct {
	// asked holds the runners that were named in calls with an answer; nil before the first
	// answer. The answer for a runner does not change.
	asked map[string]bool
	// approved holds the runners that may run the group.
	approved map[string]bool
	// permitted lists the approved runners that the cell knows, by id, and permittedSet is
	// the same as a set. Both are valid for one generation of the index of free capacity.
	permitted    []*runner
	permittedSet runnerSet
	generation   int
	tickets      map[string]ticket
	// ticketsUntil is when the last of the tickets expires.
	ticketsUntil time.Time
	// inFlight counts the calls without an answer.
	inFlight int
	// callAgainAt is the earliest time of the next call, after a call that failed or that
	// would have named no runner.
	callAgainAt time.Time
	// fullSince is when the group first found no capacity on its approved runners.
	// nameMoreAt is the earliest time at which to look for capacity on runners that no call
	// has named.
	fullSince, nameMoreAt time.Time
}

// AdviceCall is a call that asks the advisor which of the named runners may run a group.
type AdviceCall struct {
	// Group is the name of the group in the call.
	Group   string
	Runners []string
	// ExpectedDuration is how long the advisor is expected to take.
	ExpectedDuration time.Duration
	// Rank is the rank of the group; calls are made in the order of their rank.
	Rank      float64
	CreatedAt time.Time

	group *group
	// forCopy tells that the call is for a copy of a run; see straggler.go.
	forCopy      bool
	incarnations map[string]int64
	// validity is how long the tickets of the answer can be used, by the policy of the call: the
	// queue may have another one, or no advisor, when the answer arrives.
	validity time.Duration
	// expectedMilliCPU is the CPU that tasks of the group may take on each named runner
	// after the answer.
	expectedMilliCPU int64
}

// Approval is the advisor's permission for one runner.
type Approval struct {
	Runner string
	Ticket string
}

const (
	// maxRunnersPerCall is how many runners one call may name.
	maxRunnersPerCall = 100
	// ticketMargin is the minimum remaining validity with which a ticket may be used.
	ticketMargin = 150 * time.Millisecond
	// adviceRetryDelay is the pause after a call that failed.
	adviceRetryDelay = 100 * time.Millisecond
)

// RecordAdvice records the answer to a call that was sent at sentAt. If err is nil and
// there are no approvals, none of the named runners may run the group.
func (c *Cell) RecordAdvice(now time.Time, call AdviceCall, sentAt time.Time, approvals []Approval, err error) {
	a := &call.group.advice
	a.inFlight = max(0, a.inFlight-1)
	c.removeExpectedStarts(&call)
	if err != nil {
		a.callAgainAt = now.Add(adviceRetryDelay)
		return
	}
	if a.asked == nil {
		a.asked, a.approved = make(map[string]bool), make(map[string]bool)
		a.tickets = make(map[string]ticket)
	}
	newlyNamed := 0
	for _, id := range call.Runners {
		if !a.asked[id] {
			a.asked[id] = true
			newlyNamed++
		}
	}
	if newlyNamed == len(call.Runners) {
		c.updateApprovalShare(call.group.queue, newlyNamed, len(approvals))
	}
	// The advisor issues the tickets at the end of its work, which takes the expected
	// duration. They have aged by at most what the call takes beyond that.
	issued := sentAt.Add(min(call.ExpectedDuration, now.Sub(sentAt)))
	until := issued.Add(call.validity - ticketMargin)
	for _, p := range approvals {
		a.approved[p.Runner] = true
		a.tickets[p.Runner] = ticket{value: p.Ticket, incarnation: call.incarnations[p.Runner], until: until, expiry: now.Add(call.validity + leaseMargin(call.validity))}
	}
	if len(approvals) > 0 && until.After(a.ticketsUntil) {
		a.ticketsUntil = until
	}
	a.generation = 0
	call.group.retryAt = time.Time{}
}

// maxCallAge is how long a call may be queued before it is sent. In the meantime other
// runners gain free capacity, and a new call should name these.
const maxCallAge = time.Second

// AdviceStillNeeded reports whether the answer to a queued call is still of use. If not, the
// caller drops the call and passes it to RecordAdvice with an error.
func (c *Cell) AdviceStillNeeded(now time.Time, call *AdviceCall) bool {
	return (call.group.hasWaitingTasks() || call.copyStillNeeded()) && now.Sub(call.CreatedAt) < maxCallAge
}

// permittedRunnerSet returns the set of runners that are known to be allowed to run a
// group; nil means all runners.
func (c *Cell) permittedRunnerSet(g *group) runnerSet {
	a := &g.advice
	if g.queue.Advice == nil {
		return nil
	}
	if a.generation != c.free.generation || a.permittedSet == nil {
		a.generation = c.free.generation
		a.permittedSet = make(runnerSet, len(c.free.gainedCapacity))
		a.permitted = a.permitted[:0]
		for id := range a.approved {
			if r := c.runners[id]; r != nil {
				a.permittedSet.add(r.index)
			}
		}
		for w, word := range a.permittedSet {
			for ; word != 0; word &= word - 1 {
				a.permitted = append(a.permitted, c.sortedRunners[w*64+bits.TrailingZeros64(word)])
			}
		}
	}
	return a.permittedSet
}

// permittedRunners returns the runners that are known to be allowed to run a group, by id.
func (c *Cell) permittedRunners(g *group) []*runner {
	if g.queue.Advice == nil {
		return c.sortedRunners
	}
	c.permittedRunnerSet(g)
	return g.advice.permitted
}

// mayHaveTickets reports whether a group may have a valid ticket for some runner. Most groups of a backlog
// have none, and need not look for a runner.
func (g *group) mayHaveTickets(now time.Time) bool {
	return g.queue.Advice == nil || now.Before(g.advice.ticketsUntil)
}

// ticketFor returns the ticket with which a group may start on a runner now, and whether it
// may start there; the ticket is empty if the queue has no advisor.
func (g *group) ticketFor(now time.Time, r *runner) (string, bool) {
	if g.queue.Advice == nil {
		return "", true
	}
	t, ok := g.advice.tickets[r.info.ID]
	if !ok || t.incarnation != r.incarnation || !now.Before(t.until) {
		return "", false
	}
	return t.value, true
}
