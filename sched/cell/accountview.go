package cell

import (
	"cmp"
	"slices"

	"rhubarbstall.example/sched/model"
)

// AccountUsage is what a client account occupies, and what it may occupy.
type AccountUsage struct {
	Name string
	// Used is what its known runs occupy, Unseen what it may occupy besides; see Cell.refreshUnseenUsage.
	Used, Unseen, Limit model.Resources
}

// share returns the largest share of a limited resource that is in use.
func (u *AccountUsage) share() float64 { return u.Used.Add(u.Unseen).DominantShare(u.Limit) }

// accountUsages returns the usage of each account, those that are closest to their limit first.
func (c *Cell) accountUsages() []AccountUsage {
	out := make([]AccountUsage, 0, len(c.accounts))
	for _, a := range c.accounts {
		out = append(out, AccountUsage{a.Name, a.used, a.unseen, a.Limit})
	}
	slices.SortFunc(out, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// explainLimit tells how the limit of its account keeps a group from starting.
func (c *Cell) explainLimit(g *group) string {
	a := g.job.account
	if e := a.neverFits(g.spec, g.step); e != nil {
		return "it cannot run before the limit is raised: " + e.Error() + "."
	}
	sentence := "the client account " + a.Name + " may occupy " + formatLimit(a.Limit) + " and occupies " + formatResources(a.used) +
		", and up to " + formatResources(a.unseen) + " more by starts without an answer and runners that have not reported"
	if h := a.hold.group; a.hold.binds(g) {
		sentence += "; " + formatResources(a.hold.need) + " are held for step " + h.adviceKey() + ", which waits for longer"
	}
	return sentence + "."
}
