package cell

import (
	"slices"
	"sort"
	"time"
)

// The backlog may hold thousands of waiting groups, and to rank and visit all of them in
// each decision would cost more than a small VM can do. The order is therefore kept from
// decision to decision, since a rank changes only with its tier, and a decision visits a
// limited number of groups.

const (
	// frontGroups is how many groups each decision visits, in the order of their rank.
	// Groups behind them rarely find capacity that these leave.
	frontGroups = 256
	// sweepGroups is how many of the groups behind the front a decision visits,
	// round-robin, so that capacity that no group of the front can use is found and changed
	// ranks are noticed.
	sweepGroups = 64
	// dueRankMaxAge is how long the rank of a group with a due time is valid, since the
	// wall clock may jump.
	dueRankMaxAge = time.Second
)

// backlog holds the startable groups that have waiting tasks.
type backlog struct {
	// lists holds the groups of each client account, and of the jobs that belong to none, in the order in which the
	// accounts first had one.
	lists []*accountList
	// shares merges the lists of a decision; see fairshare.go.
	shares shareMerge
	// notDue holds the groups of open occurrences that are not due yet, by due time: the wall clock may
	// go back.
	notDue []*group
	// awaitingInherited holds the groups of which an earlier scheduler may have started
	// runs that are not known yet.
	awaitingInherited []*group
	// ranksStale tells whether all ranks must be computed again.
	ranksStale bool
	// toRerank is a buffer for the groups whose rank is computed again in a decision.
	toRerank []*group
}

// before orders groups by rank, and groups of equal rank by when they became startable.
func (g *group) before(o *group) bool {
	if g.rank != o.rank {
		return g.rank < o.rank
	}
	return g.sequence < o.sequence
}

// hasWaitingTasks reports whether a group has tasks to start.
func (g *group) hasWaitingTasks() bool {
	// RemoveJob sets a final state, so the groups of a removed job have none.
	return !g.job.state.Final() && g.waitingTasks > 0
}

// insertByRank ranks a group and inserts it into the order.
func (c *Cell) insertByRank(now, wall time.Time, g *group) {
	if g.starved(g.age(now, wall)) {
		g.promoted = c.promote(now, g)
	}
	g.rank, g.rankValidUntil = c.rank(c, g, now, wall)
	g.tier, _ = g.tierAndSlack(g.age(now, wall))
	if g.job.excess && !g.promoted {
		g.rank = c.excessRank(g)
	}
	c.setShares(g)
	l := c.listOf(g.job.account)
	i := sort.Search(len(l.ordered), func(i int) bool { return g.before(l.ordered[i]) })
	l.ordered = slices.Insert(l.ordered, i, g)
}

// ordered returns the groups that may start as far as their due times and earlier runs are concerned, each list by rank.
func (b *backlog) ordered() []*group {
	if len(b.lists) == 1 {
		return b.lists[0].ordered
	}
	var out []*group
	for _, l := range b.lists {
		out = append(out, l.ordered...)
	}
	return out
}

// sortNewlyStartable moves the groups that became startable, came close to their due time,
// or no longer wait for unknown runs to the list in which they belong.
func (c *Cell) sortNewlyStartable(now, wall time.Time) {
	b := &c.backlog
	c.markExcess()
	if b.ranksStale {
		b.ranksStale = false
		for _, l := range b.lists {
			c.newlyStartable = append(c.newlyStartable, l.ordered...)
			l.ordered = l.ordered[:0]
		}
	}
	if c.inheritedRunsKnown && len(b.awaitingInherited) > 0 {
		c.newlyStartable = append(c.newlyStartable, b.awaitingInherited...)
		b.awaitingInherited = nil
	}
	c.openDueOccurrences(now, wall)
	due := 0
	for due < len(b.notDue) && !wall.Before(b.notDue[due].due.Add(-beginMarkLead)) {
		due++
	}
	c.newlyStartable = append(c.newlyStartable, b.notDue[:due]...)
	b.notDue = b.notDue[due:]
	for _, g := range c.newlyStartable {
		if !g.hasWaitingTasks() {
			// Its job may have ended, and must not be kept in memory by the backlog.
			g.startable = false
			continue
		}
		if g.sequence == 0 {
			c.lastGroupNumber++
			g.sequence = c.lastGroupNumber
		}
		switch {
		case !c.runsKnown(g):
			b.awaitingInherited = append(b.awaitingInherited, g)
		case wall.Before(g.due.Add(-beginMarkLead)):
			i := sort.Search(len(b.notDue), func(i int) bool { return g.due.Before(b.notDue[i].due) })
			b.notDue = slices.Insert(b.notDue, i, g)
		default:
			c.insertByRank(now, wall, g)
		}
	}
	clear(c.newlyStartable)
	c.newlyStartable = c.newlyStartable[:0]
}

// groupsToConsider returns the groups that a decision visits, by rank. The slices are valid
// until the order changes.
func (c *Cell) groupsToConsider(now, wall time.Time) (front, sweep []*group) {
	lists := c.backlog.nonEmptyLists()
	switch len(lists) {
	case 0:
		return nil, nil
	case 1:
		l := lists[0]
		start := c.refreshList(now, wall, l, frontGroups, frontGroups, sweepGroups)
		front = l.ordered[:min(frontGroups, len(l.ordered))]
		if start >= frontGroups {
			sweep = l.ordered[start:min(start+sweepGroups, len(l.ordered))]
		}
		return front, sweep
	}
	return c.mergeLists(now, wall, lists)
}

// refreshList removes the groups without waiting tasks and computes outdated ranks again, among the first groups of a
// list and among sweep groups from the list's sweep position on, which is at least behind. It returns where the sweep
// of the decision begins, and moves the position for the next one.
func (c *Cell) refreshList(now, wall time.Time, l *accountList, first, behind, sweep int) int {
	b := &c.backlog
	b.toRerank = b.toRerank[:0]
	if l.sweepStart >= len(l.ordered) {
		l.sweepStart = 0
	}
	start := max(l.sweepStart, behind)
	l.sweepStart = start + c.refreshRange(now, l, start, sweep)
	c.refreshRange(now, l, 0, first)
	for _, g := range b.toRerank {
		c.insertByRank(now, wall, g)
	}
	return max(0, min(start, len(l.ordered)))
}

// refreshRange removes groups from a range of a list: those without waiting tasks, and
// those whose rank is no longer valid, which it collects in toRerank. It returns how many
// groups stay.
func (c *Cell) refreshRange(now time.Time, l *accountList, from, count int) int {
	b := &c.backlog
	to := min(from+count, len(l.ordered))
	if from >= to {
		return 0
	}
	kept := from
	for _, g := range l.ordered[from:to] {
		switch {
		case !g.hasWaitingTasks():
			g.startable = false
		case !now.Before(g.rankValidUntil):
			b.toRerank = append(b.toRerank, g)
		default:
			l.ordered[kept] = g
			kept++
		}
	}
	if kept < to {
		l.ordered = slices.Delete(l.ordered, kept, to)
	}
	return kept - from
}
