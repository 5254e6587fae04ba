package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// listHead is a list with the place of its next group in the order of all lists.
type listHead struct {
	band, share, rank float64
	sequence          int
	list              *accountList
}

// shareMerge holds what the merge of a decision reuses of the one before.
type shareMerge struct {
	nonEmpty     []*accountList
	heap         []listHead
	front, sweep []*group
	// capacity is that of all known runners as of the free index with the generation capacityOf.
	capacity   model.Resources
	capacityOf int
}

// precedes orders lists by their next groups.
func (h *listHead) precedes(o *listHead) bool {
	switch {
	case h.band != o.band:
		return h.band < o.band
	case h.share != o.share:
		return h.share < o.share
	case h.rank != o.rank:
		return h.rank < o.rank
	}
	return h.sequence < o.sequence
}

// head returns the list with the place of its next group.
func (l *accountList) head() listHead {
	g := l.ordered[l.next]
	return listHead{g.band, l.share, g.rank, g.sequence, l}
}

// mergeLists returns the groups that a decision visits if several accounts have waiting groups. Groups that the limit of
// their account leaves no room for are not among the first ones, and give up their reservations. Ranks that prove to be
// outdated are computed again for the next decision.
func (c *Cell) mergeLists(now, wall time.Time, lists []*accountList) (front, sweep []*group) {
	m := &c.backlog.shares
	c.beginMerge(lists)
	front = m.front[:0]
	for len(m.heap) > 0 && len(front) < frontGroups {
		l := m.heap[0].list
		g := l.ordered[l.next]
		l.next++
		waiting := g.hasWaitingTasks()
		l.outdated = l.outdated || !waiting || !now.Before(g.rankValidUntil)
		if waiting && c.visit(now, wall, l, g) {
			front = append(front, g)
		} else if waiting {
			// The reservations of the decision are applied after the merge, so nothing is to be returned.
			g.reservedRunners = nil
		}
		if l.next == len(l.ordered) || l.withoutRoom > limitedGroups {
			last := len(m.heap) - 1
			siftDown(m.heap[:last], 0, m.heap[last])
			m.heap = m.heap[:last]
		} else {
			siftDown(m.heap, 0, l.head())
		}
	}
	m.front = front
	return front, c.endMerge(now, wall, lists)
}

// endMerge returns the groups of the sweep, and refreshes the lists where the decision looks at them.
func (c *Cell) endMerge(now, wall time.Time, lists []*accountList) []*group {
	b := &c.backlog
	b.toRerank = b.toRerank[:0]
	sweep := b.shares.sweep[:0]
	for _, l := range lists {
		if l.sweepStart >= len(l.ordered) {
			l.sweepStart = 0
		}
		start := max(l.sweepStart, l.next)
		kept := c.refreshRange(now, l, start, max(1, sweepGroups/len(lists)))
		if kept > 0 {
			sweep = append(sweep, l.ordered[start:start+kept]...)
		}
		l.sweepStart = start + kept
		if l.outdated {
			c.refreshRange(now, l, 0, l.next)
		}
	}
	for _, g := range b.toRerank {
		c.insertByRank(now, wall, g)
	}
	b.shares.sweep = sweep
	return sweep
}

// beginMerge puts the lists in the order of their first groups.
func (c *Cell) beginMerge(lists []*accountList) {
	m := &c.backlog.shares
	m.heap = m.heap[:0]
	for _, l := range lists {
		c.beginList(l)
		m.heap = append(m.heap, l.head())
	}
	for i := len(m.heap)/2 - 1; i >= 0; i-- {
		siftDown(m.heap, i, m.heap[i])
	}
}

// beginList sets the state of a list at the beginning of a merge.
func (c *Cell) beginList(l *accountList) {
	l.next, l.withoutRoom, l.outdated = 0, 0, false
	l.weight, l.left = c.weightOf(l.account), 1
	l.share = c.heldBy(l).DominantShare(c.totalCapacity()) / l.weight
	if a := l.account; a != nil {
		l.left = 1 - a.used.Add(a.unseen).DominantShare(a.Limit)
	}
}

// visit counts what a group waits for as held; it reports false if the account's limit leaves no room for a start now.
func (c *Cell) visit(now, wall time.Time, l *accountList, g *group) bool {
	tasks := g.waitingTasks
	// While a group holds room in the limit, what others may start depends on more than what is left.
	held := l.account != nil && l.account.hold.group != nil
	if !held && g.limitShare*float64(tasks) <= l.left {
		g.withinLimitIn = c.decision
	} else {
		if g.limitShare > l.left {
			l.withoutRoom++
		}
		c.refreshIdleWait(now, wall, g)
		if c.limitBlocks(now, wall, g) {
			return false
		}
		tasks = c.startsWithinLimit(g)
	}
	g.accountShare = l.share
	l.left -= g.limitShare * float64(tasks)
	l.share += g.taskShare * float64(tasks) / l.weight
	return true
}

// siftDown puts an entry in the place of the one at an index of a binary heap, or behind those below it that precede it.
func siftDown(heap []listHead, i int, h listHead) {
	for {
		child := 2*i + 1
		if child >= len(heap) {
			break
		}
		if child+1 < len(heap) && heap[child+1].precedes(&heap[child]) {
			child++
		}
		if !heap[child].precedes(&h) {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	if i < len(heap) {
		heap[i] = h
	}
}
