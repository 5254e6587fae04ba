package cell

import (
	"math"
	"slices"

	"rhubarbstall.example/sched/model"
)

// Shares at full load: with client accounts, the groups of one account must not take the places that a decision visits,
// the advisor's calls and the capacity from those of the others. Each account has its own list of waiting groups. A
// decision merges the lists by tier, priority, and weighted dominant share. The work that it has visited counts like
// work that the account holds, so that the accounts take turns also where nothing starts.

const (
	// limitedGroups is how many groups of an account a decision looks at beyond those that the account's limit leaves
	// room for: an account at its limit costs a decision no more, and a smaller group behind a wide one is still found
	// soon. The sweep finds the others.
	limitedGroups = 16
)

// accountList holds the waiting groups of a client account, or of the jobs that belong to none.
type accountList struct {
	// account is nil for the jobs that belong to none.
	account *account
	// ordered holds the groups by rank.
	ordered []*group
	// sweepStart is the index in ordered from which the next decision visits the groups behind the front.
	sweepStart int

	// The rest is the state of the merge of a decision. next is the index of the next group. outdated tells that the list
	// is to be refreshed up to next.
	next     int
	outdated bool
	// share is the dominant share of what the account holds and its visited groups wait for, divided by the account's
	// weight.
	weight, share float64
	// left is the smallest part of a resource of the limit that the account and its visited groups leave. withoutRoom
	// counts the visited groups that the limit leaves no room for.
	left        float64
	withoutRoom int
}

// listOf returns the list of an account, which it adds if there is none; nil stands for the jobs without an account.
func (c *Cell) listOf(a *account) *accountList {
	b := &c.backlog
	if a == nil {
		if i := slices.IndexFunc(b.lists, func(l *accountList) bool { return l.account == nil }); i >= 0 {
			return b.lists[i]
		}
	} else if a.list != nil {
		return a.list
	}
	l := &accountList{account: a}
	if a != nil {
		a.list = l
	}
	b.lists = append(b.lists, l)
	return l
}

// nonEmptyLists returns the lists that hold groups.
func (b *backlog) nonEmptyLists() []*accountList {
	b.shares.nonEmpty = b.shares.nonEmpty[:0]
	for _, l := range b.lists {
		if len(l.ordered) == 0 {
			l.sweepStart = 0
			continue
		}
		b.shares.nonEmpty = append(b.shares.nonEmpty, l)
	}
	return b.shares.nonEmpty
}

// rankBand returns the part of a rank that stands for the tier and the priority.
func rankBand(rank float64) float64 { return math.Round(rank / atRiskWeightSeconds) }

// setShares records the band of a group's rank, and what its tasks add to what its account holds. If the capacity or the
// limit changes, all ranks are computed again.
func (c *Cell) setShares(g *group) {
	g.band = rankBand(g.rank)
	if len(c.accounts) == 0 {
		return
	}
	g.taskShare = g.spec.Size.DominantShare(c.totalCapacity())
	if a := g.job.account; a != nil {
		g.limitShare = g.spec.Size.DominantShare(a.Limit)
	}
}

// precedes orders the groups of all accounts as the last decisions visited them.
func (g *group) precedes(o *group) bool {
	if g.band != o.band {
		return g.band < o.band
	}
	if g.accountShare != o.accountShare {
		return g.accountShare < o.accountShare
	}
	return g.before(o)
}

// weightOf returns the weight of an account. Jobs without an account, and an account whose weight is not configured, have
// the median weight.
func (c *Cell) weightOf(a *account) float64 {
	if a != nil && a.Weight > 0 {
		return a.Weight
	}
	var weights []float64
	for _, other := range c.accounts {
		if other.Weight > 0 {
			weights = append(weights, other.Weight)
		}
	}
	if len(weights) == 0 {
		return 1
	}
	slices.Sort(weights)
	return weights[len(weights)/2]
}

// overShare returns the dominant share that the account of a group holds, and the list of another account that holds
// less for its weight and whose first group goes before the group for that reason; nil if there is none.
func (c *Cell) overShare(g *group) (float64, *accountList) {
	if g.job.account == nil {
		return 0, nil
	}
	capacity := c.totalCapacity()
	own := g.job.account.used.DominantShare(capacity)
	for _, l := range c.backlog.lists {
		if l.account == g.job.account || len(l.ordered) == 0 || l.ordered[0].band != g.band {
			continue
		}
		if c.heldBy(l).DominantShare(capacity)/c.weightOf(l.account) < own/c.weightOf(g.job.account) {
			return own, l
		}
	}
	return own, nil
}

// name describes whose groups a list holds.
func (l *accountList) name() string {
	if l.account == nil {
		return "the jobs without an account"
	}
	return "the account " + l.account.Name
}

// heldBy returns the resources that the runs of the account of a list occupy.
func (c *Cell) heldBy(l *accountList) model.Resources {
	if l.account == nil {
		return c.usedWithoutAccount()
	}
	return l.account.used
}

// totalCapacity returns the capacity of all known runners.
func (c *Cell) totalCapacity() model.Resources {
	m := &c.backlog.shares
	if m.capacityOf != c.free.generation || c.free.generation == 0 {
		before := m.capacity
		m.capacity, m.capacityOf = model.Resources{}, c.free.generation
		for _, r := range c.sortedRunners {
			m.capacity = m.capacity.Add(r.info.Capacity)
		}
		c.backlog.ranksStale = c.backlog.ranksStale || m.capacity != before
	}
	return m.capacity
}

// usedWithoutAccount returns what the runs of jobs without an account occupy.
func (c *Cell) usedWithoutAccount() model.Resources {
	var used model.Resources
	for _, r := range c.sortedRunners {
		used = used.Add(r.used)
	}
	for _, a := range c.accounts {
		used = used.Sub(a.used)
	}
	return used.Max(model.Resources{})
}
