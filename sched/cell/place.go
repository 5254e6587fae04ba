package cell

import (
	"sort"
	"time"

	"rhubarbstall.example/sched/model"
)

// Start is an order to start a task.
type Start struct {
	Run        *Run
	Payload    string
	Checkpoint string
	Ticket     string
}

// Decisions are the orders that follow from the present state.
type Decisions struct {
	Starts []Start
	Stops  []Stop
	Advice []AdviceCall
}

// maxHeldGroups bounds the gangs for which room is kept at a time; more would
// leave too much of the cell idle.
const maxHeldGroups = 4

// Decide returns the orders for now; wall is the time of day, for due times.
func (c *Cell) Decide(now, wall time.Time) Decisions {
	var d Decisions
	for _, r := range c.order {
		r.avail = r.free()
	}
	c.sortReady(now)
	keep := c.ready[:0]
	held := 0
	for _, g := range c.ready {
		if g.job.state.Final() || g.waiting == 0 || c.jobs[g.job.ID] != g.job {
			g.listed = false
			continue
		}
		keep = append(keep, g)
		if !c.mayStart(g.job) || now.Before(g.readyAt) || wall.Before(g.due) {
			continue
		}
		c.advise(now, g, &d)
		if g.spec.Gang {
			if c.placeGang(now, g, &d) {
				continue
			}
			if held < maxHeldGroups && c.hold(now, g) {
				held++
			}
			continue
		}
		c.placeTasks(now, g, &d)
	}
	c.ready = keep
	d.Stops = c.TakeStops()
	return d
}

// sortReady puts the groups in the order in which they get room.
func (c *Cell) sortReady(now time.Time) {
	for _, g := range c.ready {
		g.rank = g.rankAt(now)
	}
	sort.SliceStable(c.ready, func(i, k int) bool { return c.ready[i].rank < c.ready[k].rank })
}

// rankAt orders groups by priority, then by the time in which they are expected.
func (g *group) rankAt(now time.Time) float64 {
	q := g.queue
	slack := q.TargetLatency.Seconds() + q.SlackFactor*g.spec.Estimate.Seconds()
	left := slack - now.Sub(g.job.Accepted).Seconds()
	return float64(q.Priority)*1000 + left
}

// claim is the room that a task of the group takes.
func (g *group) claim() model.Resources {
	size := g.spec.Size
	if g.spec.Filling {
		size.MilliCPU = 0
	}
	return size
}

// fitsEmpty reports whether a task of the group fits on an empty runner and may
// run there.
func (g *group) fitsEmpty(r *runner) bool {
	return g.claim().Fits(r.info.Capacity) && (g.spec.RunnerLabel == "" || r.hasLabel(g.spec.RunnerLabel))
}

// eligible returns the runners on which a task of the group may start now.
func (c *Cell) eligible(now time.Time, g *group, permitted func(*runner) bool) []*runner {
	var out []*runner
	for _, r := range c.order {
		if r.info.Pool != g.job.Pool || !r.usable(now) || !g.claim().Fits(r.avail) || !g.fitsEmpty(r) {
			continue
		}
		if g.avoid[r.info.ID] && len(g.avoid) < len(c.order)/2 {
			continue
		}
		if permitted(r) {
			out = append(out, r)
		}
	}
	return out
}

// onRunner counts the tasks of the group on a runner.
func (g *group) onRunner(r *runner) int {
	n := 0
	for i := range g.tasks {
		for _, run := range g.tasks[i].live {
			if run.Runner == r.info.ID {
				n++
			}
		}
	}
	return n
}

// placeTasks starts waiting tasks of a group one by one, each where it leaves the
// least room, so that large tasks find room elsewhere.
func (c *Cell) placeTasks(now time.Time, g *group, d *Decisions) {
	waiting := g.waitingTasks()
	if len(waiting) == 0 {
		return
	}
	cands := c.eligible(now, g, func(r *runner) bool { _, ok := g.allowed(now, r); return ok })
	for _, index := range waiting {
		r := c.bestFit(g, cands)
		if r == nil {
			return
		}
		c.start(now, g, index, r, d)
	}
}

func (c *Cell) bestFit(g *group, cands []*runner) *runner {
	var best *runner
	bestLeft := int64(1 << 62)
	for _, r := range cands {
		if !g.claim().Fits(r.avail) {
			continue
		}
		if g.spec.MaxPerRunner > 0 && g.onRunner(r) >= g.spec.MaxPerRunner {
			continue
		}
		left := r.avail.MilliCPU - g.spec.Size.MilliCPU
		if g.spec.DataRack != "" && r.info.Rack != g.spec.DataRack {
			left += 1 << 40
		}
		if left < bestLeft {
			best, bestLeft = r, left
		}
	}
	return best
}

func (g *group) waitingTasks() []int {
	var out []int
	for i := range g.tasks {
		if !g.tasks[i].done && len(g.tasks[i].live) == 0 {
			out = append(out, i)
		}
	}
	return out
}

// placeGang starts all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, g *group, d *Decisions) bool {
	if g.waiting < len(g.tasks) {
		// Runs of an earlier attempt are still ending.
		return false
	}
	plan := c.planGang(now, g, func(r *runner) bool { _, ok := g.allowed(now, r); return ok })
	if plan == nil {
		return false
	}
	for i, r := range plan {
		c.start(now, g, i, r, d)
	}
	return true
}

// planGang returns a runner for each task, or nil. A gang that is slow across
// racks is planned on one rack only.
func (c *Cell) planGang(now time.Time, g *group, permitted func(*runner) bool) []*runner {
	cands := c.eligible(now, g, permitted)
	if !g.spec.SameRack {
		return g.fill(cands)
	}
	racks := make(map[string][]*runner)
	var names []string
	for _, r := range cands {
		if racks[r.info.Rack] == nil {
			names = append(names, r.info.Rack)
		}
		racks[r.info.Rack] = append(racks[r.info.Rack], r)
	}
	for _, name := range names {
		if plan := g.fill(racks[name]); plan != nil {
			return plan
		}
	}
	return nil
}

// fill packs the gang onto the runners with the least room first.
func (g *group) fill(cands []*runner) []*runner {
	sort.SliceStable(cands, func(i, k int) bool { return cands[i].avail.MilliCPU < cands[k].avail.MilliCPU })
	plan := make([]*runner, 0, len(g.tasks))
	for _, r := range cands {
		avail, n := r.avail, 0
		for len(plan) < len(g.tasks) && g.claim().Fits(avail) {
			if g.spec.MaxPerRunner > 0 && n >= g.spec.MaxPerRunner {
				break
			}
			plan = append(plan, r)
			avail = avail.Sub(g.claim())
			n++
		}
	}
	if len(plan) < len(g.tasks) {
		return nil
	}
	return plan
}

// start records the order to start a task.
func (c *Cell) start(now time.Time, g *group, index int, r *runner, d *Decisions) {
	t := &g.tasks[index]
	execution := max(t.execution+1, c.cfg.FirstExecution)
	checkpoint := t.checkpoint
	if g.spec.Gang {
		if index == 0 {
			g.gangExecution = max(g.gangExecution+1, c.cfg.FirstExecution)
		}
		execution, checkpoint = g.gangExecution, g.gangCheckpoint
	}
	t.execution = execution
	run := &Run{
		Task: g.ref(index), Execution: execution, Runner: r.info.ID, Life: r.life,
		Phase: Sending, Started: now, group: g, claimed: g.claim(),
	}
	r.add(run)
	r.avail = r.avail.Sub(run.claimed)
	t.live = append(t.live, run)
	g.waiting--
	value, _ := g.allowed(now, r)
	d.Starts = append(d.Starts, Start{Run: run, Payload: g.job.Spec.Payload, Checkpoint: checkpoint, Ticket: value})
}

// hold keeps the room that a gang waits for from groups behind it: the runners
// that may run it and have the most room.
func (c *Cell) hold(now time.Time, g *group) bool {
	if g.waiting < len(g.tasks) {
		return false
	}
	var cands []*runner
	for _, r := range c.order {
		if r.info.Pool == g.job.Pool && r.usable(now) && g.fitsEmpty(r) && g.hopeful(r) && !g.avoid[r.info.ID] {
			cands = append(cands, r)
		}
	}
	if len(cands) == 0 {
		return false
	}
	sort.SliceStable(cands, func(i, k int) bool { return cands[i].avail.MilliCPU > cands[k].avail.MilliCPU })
	left := len(g.tasks)
	for _, r := range cands {
		room := r.info.Capacity
		for left > 0 && g.claim().Fits(room) {
			room = room.Sub(g.claim())
			r.avail = r.avail.Sub(g.claim())
			left--
		}
		if left == 0 {
			return true
		}
	}
	return true
}

// advise asks for permissions: first for enough runners to know where the group
// may run, then again for the planned ones when their tickets have run out.
func (c *Cell) advise(now time.Time, g *group, d *Decisions) {
	a := &g.advice
	if g.queue.Advice == nil || a.inFlight || now.Before(a.next) {
		return
	}
	var names []string
	switch {
	case a.asked == nil:
		names = c.nameRunners(now, g)
	case g.hasTickets(now):
		return
	default:
		names = c.renewals(now, g)
		if len(names) == 0 && !c.approvedRoom(now, g, spareRoom) {
			names = c.nameRunners(now, g)
		}
		if len(names) == 0 && !c.approvedRoom(now, g, 1) {
			// Every runner is known; those that failed the group are better than none.
			g.avoid = nil
		}
	}
	if len(names) == 0 {
		a.next = now.Add(adviceRetry)
		return
	}
	a.inFlight = true
	call := AdviceCall{
		Group: g.key(), Runners: names, Expected: g.queue.Advice.CallTime(len(names)),
		Urgent: g.queue.Priority == 0, Rank: g.rank, Since: now,
		group: g, lives: make(map[string]int64, len(names)),
	}
	for _, id := range names {
		call.lives[id] = c.runners[id].life
	}
	d.Advice = append(d.Advice, call)
}

// hasTickets reports whether a ticket of the group is valid for a runner with room.
func (g *group) hasTickets(now time.Time) bool {
	for _, t := range g.advice.tickets {
		if now.Before(t.until) {
			return true
		}
	}
	return false
}

// spareRoom is how many times a group's approved runners should be able to hold it
// before no more are asked about. A gang that fits onto exactly its approved runners
// waits until all of them are empty, while smaller work keeps coming.
const spareRoom = 3

// approvedRoom reports whether the approved runners, if empty, could hold the group
// the given number of times.
func (c *Cell) approvedRoom(now time.Time, g *group, times int) bool {
	need := times
	if g.spec.Gang {
		need *= len(g.tasks)
	}
	for _, r := range c.order {
		if !r.usable(now) || !g.advice.approved[r.info.ID] || g.avoid[r.info.ID] {
			continue
		}
		room := r.info.Capacity
		for need > 0 && g.claim().Fits(room) {
			room = room.Sub(g.claim())
			need--
		}
	}
	return need <= 0
}

// renewals returns the approved runners for which new tickets would let the group
// start now.
func (c *Cell) renewals(now time.Time, g *group) []string {
	permitted := func(r *runner) bool { return g.advice.approved[r.info.ID] }
	var chosen []*runner
	if g.spec.Gang {
		if g.waiting < len(g.tasks) {
			return nil
		}
		chosen = c.planGang(now, g, permitted)
	} else {
		chosen = c.eligible(now, g, permitted)
		sort.SliceStable(chosen, func(i, k int) bool { return chosen[i].avail.MilliCPU > chosen[k].avail.MilliCPU })
		chosen = chosen[:min(len(chosen), g.waiting+2)]
	}
	var ids []string
	seen := make(map[string]bool)
	for _, r := range chosen {
		if !seen[r.info.ID] {
			seen[r.info.ID] = true
			ids = append(ids, r.info.ID)
		}
	}
	return ids
}
