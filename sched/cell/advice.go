package cell

import (
	"sort"
	"time"
)

// ticket is the permission to run a step on one life of a runner.
type ticket struct {
	value string
	life  int64
	until time.Time
}

// advice is what is known of the runners that may run a group.
type advice struct {
	// asked holds the runners that a call has named; the answer for a runner does
	// not change.
	asked map[string]bool
	// approved holds the runners that may run the group.
	approved map[string]bool
	// order lists the approved runners by id.
	order    []string
	tickets  map[string]ticket
	inFlight bool
	// next is when a failed call may be repeated.
	next time.Time
	// fullSince is when the group was first found without room on its approved runners,
	// fullNext when the others are looked at again.
	fullSince, fullNext time.Time
}

// AdviceCall asks which of the runners may run a group.
type AdviceCall struct {
	// Group is the name of the group in the call.
	Group   string
	Runners []string
	// Expected is how long the advisor takes.
	Expected time.Duration
	// Urgent calls go before others.
	Urgent bool
	// Due is when the answer is needed; calls are served in this order.
	Rank  float64
	Since time.Time

	group *group
	lives map[string]int64
}

// Approval is a permission in an answer of the advisor.
type Approval struct {
	Runner string
	Ticket string
}

const (
	// maxNamed is the most runners that one call may name.
	maxNamed = 100
	// ticketMargin is kept between the use of a ticket and its end.
	ticketMargin = 150 * time.Millisecond
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 100 * time.Millisecond
)

// Advised takes an answer into account; sentAt is when the call was sent. A nil
// error with no approvals means that none of the named runners may run the group.
func (c *Cell) Advised(now time.Time, call AdviceCall, sentAt time.Time, approvals []Approval, err error) {
	a := &call.group.advice
	a.inFlight = false
	if err != nil {
		a.next = now.Add(adviceRetry)
		return
	}
	if a.asked == nil {
		a.asked, a.approved = make(map[string]bool), make(map[string]bool)
		a.tickets = make(map[string]ticket)
	}
	for _, id := range call.Runners {
		a.asked[id] = true
	}
	// The advisor works for the expected time, so the tickets are at most as old
	// as the rest of the call took.
	issued := sentAt.Add(min(call.Expected, now.Sub(sentAt)))
	until := issued.Add(call.group.queue.Advice.Validity - ticketMargin)
	for _, p := range approvals {
		if !a.approved[p.Runner] {
			a.approved[p.Runner] = true
			a.order = append(a.order, p.Runner)
		}
		a.tickets[p.Runner] = ticket{value: p.Ticket, life: call.lives[p.Runner], until: until}
	}
	sort.Strings(a.order)
}

// mayRunOn returns the runners that may run a group as far as is known, by id. Most
// groups may use a small part of a large pool, and looking at all runners for each
// waiting group is what a decision costs most.
func (c *Cell) mayRunOn(g *group) []*runner {
	if g.queue.Advice == nil {
		return c.order
	}
	out := make([]*runner, 0, len(g.advice.order))
	for _, id := range g.advice.order {
		if r := c.runners[id]; r != nil {
			out = append(out, r)
		}
	}
	return out
}

// allowed reports whether a group may start on a runner now, and the ticket.
func (g *group) allowed(now time.Time, r *runner) (string, bool) {
	if g.queue.Advice == nil {
		return "", true
	}
	t, ok := g.advice.tickets[r.info.ID]
	if !ok || t.life != r.life || !now.Before(t.until) {
		return "", false
	}
	return t.value, true
}

// nameRunners chooses the runners that a first call names: those with the most
// room, as many as the group may need, since a good part is refused.
func (c *Cell) nameRunners(now time.Time, g *group) []string {
	var fit []*runner
	for _, r := range c.order {
		if r.info.Pool == g.job.Pool && r.usable(now) && !g.advice.asked[r.info.ID] && g.fitsEmpty(r) {
			fit = append(fit, r)
		}
	}
	sort.SliceStable(fit, func(i, k int) bool { return fit[i].avail.MilliCPU > fit[k].avail.MilliCPU })
	n := min(len(fit), g.wantNamed(), maxNamed)
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fit[i].info.ID
	}
	return ids
}

// wantNamed returns how many runners are worth naming: naming one costs little
// where the fixed part of a call is long.
func (g *group) wantNamed() int {
	need := 4*g.spec.Count + 8
	if g.spec.Gang {
		need = 8*g.spec.Count + 8
	}
	return need
}
