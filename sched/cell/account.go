package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// The limit of a client account holds for what its tasks occupy on all runners together, however late a runner carries
// out an order. A decision therefore counts against the limit whatever may exist: the runs on runners that are heard or
// not, the orders that may still be carried out, and after a takeover what the earlier scheduler may have started on
// runners that have not reported. See docs/design/account-limits.md.

// ClientAccount is a client account with its limits.
type ClientAccount struct {
	Name string
	// Weight is the account's share of the capacity while all of it is in use, and the jobs per second that it is
	// expected to submit at most.
	Weight float64
	// Limit is what the account's tasks may occupy on all runners together. A resource that is 0 is not limited.
	Limit model.Resources
}

// VersionedAccount is a client account as a version of the configuration defines it.
type VersionedAccount struct {
	ClientAccount
	Version int64
}

// MayAccess reports whether a client account may see and cancel a job of the account owner. Jobs of public routes, and
// those that were accepted before the deployment had accounts, belong to none and are open to all.
func MayAccess(account, owner string) bool { return owner == "" || owner == account }

// account is the scheduler's view of a client account.
type account struct {
	ClientAccount
	// version is that of the configuration which the limit comes from; 0 if none is known, and then nothing is limited.
	version int64
	// highestLimit is the highest limit of the versions that are known, older ones too; a resource is 0 if one of them
	// does not limit it. limitKnown tells that there is one.
	highestLimit model.Resources
	limitKnown   bool
	// used is the sum of the sizes of the account's runs that may exist on runners, including those that are being
	// started or stopped and those on runners that are not heard.
	used model.Resources
	// unseen is what the account may occupy besides, as of the decision in progress; see refreshUnseenUsage.
	unseen model.Resources
	// inherited is what may exist of runs that an earlier scheduler started and no runner has reported yet.
	inherited inheritedUsage
	hold      limitHold
	// lastBlockedAt is when the limit last kept a group from starting.
	lastBlockedAt time.Time
	// list holds the account's waiting groups; nil if it never had one. meter counts its submissions.
	list  *accountList
	meter submissionMeter
	// entitledStarts is the CPU of the account's starts per second that are no excess, and entitledMilliCPU that of
	// those that the rate does not contain yet.
	entitledStarts   movingRate
	entitledMilliCPU int64
	// waitingJobs counts the account's jobs that have not started a task, as of the last load report.
	waitingJobs int
}

// SetClientAccounts applies the accounts of a version of the configuration. An account keeps its limit from the newest
// version that names it, whatever the order of the calls, and so does one that is left out.
func (c *Cell) SetClientAccounts(version int64, accounts []ClientAccount) {
	for i := range accounts {
		c.learnAccount(VersionedAccount{accounts[i], version})
	}
}

// learnAccount applies an account unless a newer version of it is known.
func (c *Cell) learnAccount(v VersionedAccount) {
	a := c.accountNamed(v.Name)
	if a == nil {
		return
	}
	a.raiseHighestLimit(v.Limit)
	if v.Version < a.version {
		return
	}
	if a.version == 0 || a.Limit != v.Limit {
		c.event(Event{Kind: EventAccountLimitSet, Account: &AccountEvent{v.Name, a.used, v.Limit, v.Version}})
		// What a group's tasks take of the limit is computed with its rank.
		c.backlog.ranksStale = true
	}
	a.ClientAccount, a.version = v.ClientAccount, v.Version
}

// raiseHighestLimit records a limit that is or was in force.
func (a *account) raiseHighestLimit(limit model.Resources) {
	if !a.limitKnown {
		a.limitKnown, a.highestLimit = true, limit
		return
	}
	higher := func(known, limit int64) int64 {
		if known == 0 || limit == 0 {
			return 0
		}
		return max(known, limit)
	}
	a.highestLimit = model.Resources{
		MilliCPU: higher(a.highestLimit.MilliCPU, limit.MilliCPU), MemoryMB: higher(a.highestLimit.MemoryMB, limit.MemoryMB),
		Accelerators: higher(a.highestLimit.Accelerators, limit.Accelerators),
	}
}

// HasAccounts reports whether the cell knows a client account, from a configuration or of a job.
func (c *Cell) HasAccounts() bool { return len(c.accounts) > 0 }

// accountNamed returns an account, which it adds without a limit if it is not known; nil for an empty name.
func (c *Cell) accountNamed(name string) *account {
	if name == "" {
		return nil
	}
	a := c.accounts[name]
	if a == nil {
		a = &account{ClientAccount: ClientAccount{Name: name}}
		c.accounts[name] = a
	}
	return a
}

// room returns how many tasks of a size the account may start now, at most n, while held is kept for another group. A
// task that is larger than what is left of the limit starts all the same while less than half of the limit is in use:
// otherwise it might wait forever, since smaller tasks take what becomes free.
func (a *account) room(size, held model.Resources, n int) int {
	used := a.used.Add(a.unseen)
	places := a.places(size, used.Add(held), n)
	if places == 0 && n > 0 && held.IsZero() && a.belowHalf() {
		return 1
	}
	return places
}

// places returns how many tasks of a size fit into the limit besides what is used, at most n.
func (a *ClientAccount) places(size, used model.Resources, n int) int {
	return min(placesWithin(a.Limit.MilliCPU, used.MilliCPU, size.MilliCPU, n),
		placesWithin(a.Limit.MemoryMB, used.MemoryMB, size.MemoryMB, n),
		placesWithin(a.Limit.Accelerators, used.Accelerators, size.Accelerators, n))
}

// belowHalf reports whether less than half of the limit is in use, in each limited resource.
func (a *account) belowHalf() bool {
	used := a.used.Add(a.unseen)
	return belowHalf(a.Limit.MilliCPU, used.MilliCPU) && belowHalf(a.Limit.MemoryMB, used.MemoryMB) && belowHalf(a.Limit.Accelerators, used.Accelerators)
}

// placesWithin returns how many amounts of a size fit into what is left of a limit, at most n; a limit of 0 is none.
func placesWithin(limit, used, size int64, n int) int {
	if limit == 0 || size <= 0 {
		return n
	}
	return int(min(max(limit-used, 0)/size, int64(n)))
}

func belowHalf(limit, used int64) bool { return limit == 0 || 2*used < limit }

// startsWithinLimit returns how many waiting tasks of the group the limit of its account allows to start now. A gang
// starts as a whole or not at all.
func (c *Cell) startsWithinLimit(g *group) int {
	a := g.job.account
	if a == nil || a.Limit.IsZero() {
		return g.waitingTasks
	}
	counted := c.tasksAlreadyCounted(g)
	if g.spec.Gang {
		if g.waitingTasks == len(g.tasks) && a.room(g.spec.Size, a.hold.heldFrom(g), len(g.tasks)) < len(g.tasks) {
			return 0
		}
		return g.waitingTasks
	}
	return counted + a.room(g.spec.Size, a.hold.heldFrom(g), g.waitingTasks-counted)
}

// waitingWithinLimit returns the waiting tasks of a group that may start now, those first whose start is counted already.
func (c *Cell) waitingWithinLimit(g *group) []int {
	waiting := g.waitingIndexes()
	a := g.job.account
	if a == nil || a.Limit.IsZero() {
		return waiting
	}
	if c.tasksAlreadyCounted(g) > 0 {
		first := make([]int, 0, len(waiting))
		var others []int
		for _, i := range waiting {
			if c.executionToRepeat(g, i) != 0 {
				first = append(first, i)
			} else {
				others = append(others, i)
			}
		}
		waiting = append(first, others...)
	}
	return waiting[:min(len(waiting), c.startsWithinLimit(g))]
}

// tasksAlreadyCounted returns how many waiting tasks of a group start with the execution of an order that may still be
// carried out. Their runner runs the task once, so the start adds nothing to what is counted for the order. None start
// while a lowered limit is exceeded. Gangs take a new execution for each attempt.
func (c *Cell) tasksAlreadyCounted(g *group) int {
	if g.unsettledStarts == 0 || g.spec.Gang || !g.job.account.used.Add(g.job.account.unseen).Fits(g.job.account.limitOrMax()) {
		return 0
	}
	n := 0
	for _, i := range g.waitingIndexes() {
		if c.executionToRepeat(g, i) != 0 {
			n++
		}
	}
	return n
}

// limitOrMax returns the limit with a value above any usage for resources that are not limited.
func (a *ClientAccount) limitOrMax() model.Resources {
	orMax := func(limit int64) int64 {
		if limit == 0 {
			return 1<<62 - 1
		}
		return limit
	}
	return model.Resources{MilliCPU: orMax(a.Limit.MilliCPU), MemoryMB: orMax(a.Limit.MemoryMB), Accelerators: orMax(a.Limit.Accelerators)}
}

// limitBlocks reports whether the limit of its account keeps a group from starting now. The caller makes sure that the
// group does not keep capacity or the advisor from others then.
func (c *Cell) limitBlocks(now, wall time.Time, g *group) bool {
	a := g.job.account
	if a == nil || a.Limit.IsZero() {
		return false
	}
	if c.startsWithinLimit(g) > 0 {
		a.hold.noteRoom(now, g)
		return false
	}
	if now.Sub(a.lastBlockedAt) > blockedEventInterval {
		c.event(Event{Kind: EventAccountAtLimit, Account: a.event()})
	}
	a.lastBlockedAt = now
	if !now.Before(g.pausedUntil) && !wall.Before(g.due) {
		c.holdLimit(now, a, g)
	}
	return true
}

// event returns the part of an event that is about the account.
func (a *account) event() *AccountEvent {
	return &AccountEvent{a.Name, a.used.Add(a.unseen), a.Limit, a.version}
}

// blockedEventInterval bounds the log to one line for each time that an account reaches its limit, and one in 5 s.
const blockedEventInterval = 5 * time.Second

// releaseReservation gives up the capacity that a gang has reserved.
func (c *Cell) releaseReservation(g *group) {
	c.returnReservation(g)
	g.reservedRunners = nil
}
