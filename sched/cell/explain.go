package cell

import (
	"fmt"
	"time"

	"rhubarbstall.example/sched/model"
)

// JobView is a job as shown to operators.
type JobView struct {
	ID       string    `json:"id"`
	Queue    string    `json:"queue"`
	State    JobState  `json:"state"`
	Accepted time.Time `json:"accepted"`
	// ClientAccount is the account that the job belongs to; empty if it belongs to none.
	ClientAccount string `json:"account,omitempty"`
	Gang          bool   `json:"gang"`
	LongRunning   bool   `json:"lasting"`
	// Tasks counts the tasks of all occurrences; 0 for an ended job, of which only the
	// state is kept.
	Tasks   int               `json:"tasks"`
	Done    int               `json:"done"`
	Running int               `json:"running"`
	Why     model.Explanation `json:"why"`
}

// The reasons for which a job waits, as shown to operators.
const (
	reasonEnded      = "ended"
	reasonRunning    = "running"
	reasonEarlier    = "earlier_steps"
	reasonInherited  = "inherited"
	reasonDue        = "not_due"
	reasonMark       = "mark_not_stored"
	reasonAdvice     = "advice"
	reasonNoRunner   = "no_runner_fits"
	reasonNoCapacity = "no_capacity"
	reasonBound      = "earlier_start"
	reasonLimit      = "account_limit"
	reasonExcess     = "account_excess"
	reasonShare      = "account_share"
	reasonSpeed      = "faster_runner"
	reasonReserved   = "reserved"
	// reasonEarlierAttempt and reasonPaused are only those of gangs.
	reasonEarlierAttempt = "earlier_attempt"
	reasonPaused         = "paused"
)

// JobView returns a job and what it waits for; false if the job is not known.
func (c *Cell) JobView(now, wall time.Time, id string) (JobView, bool) {
	j := c.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	v := JobView{ID: id, Queue: j.Queue, State: j.VisibleState(), Accepted: wall.Add(-now.Sub(j.Accepted)), ClientAccount: j.ClientAccount}
	if j.state.Final() {
		v.Why = model.Explanation{Reason: reasonEnded, Sentence: "The job has ended: " + string(j.state) + "."}
		return v, true
	}
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		v.Gang = v.Gang || st.Gang
		v.LongRunning = v.LongRunning || st.LongRunning
		v.Tasks += st.Count * j.Spec.Occurrences()
		v.Done += st.Count * j.finished.count
	}
	for g := range j.openGroups() {
		v.Done += len(g.tasks) - g.openTasks
		v.Running += g.openTasks - g.waitingTasks
	}
	v.Why = c.explain(now, wall, j)
	return v, true
}

// explain returns what the first waiting step of a job waits for.
func (c *Cell) explain(now, wall time.Time, j *Job) model.Explanation {
	for g := range j.openGroups() {
		if g.openTasks > 0 && g.openDependencies == 0 && g.waitingTasks > 0 {
			why := c.explainGroup(now, wall, g)
			why.Sentence = fmt.Sprintf("Step %d, occurrence %d: %s", g.step, g.occurrence, why.Sentence)
			return why
		}
	}
	for g := range j.openGroups() {
		if g.openTasks > g.waitingTasks {
			return model.Explanation{Reason: reasonRunning, Sentence: "All tasks that can run now are running."}
		}
	}
	if len(j.occurrences) == 0 {
		return model.Explanation{Reason: reasonDue, Sentence: fmt.Sprintf("Occurrence %d: due in %s.", j.nextOccurrence, j.nextDue.Sub(wall).Round(time.Second))}
	}
	return model.Explanation{Reason: reasonEarlier, Sentence: "Its steps wait for earlier steps."}
}

func (c *Cell) explainGroup(now, wall time.Time, g *group) model.Explanation {
	say := func(reason, format string, args ...any) model.Explanation {
		return model.Explanation{Reason: reason, Sentence: fmt.Sprintf(format, args...)}
	}
	fit, rejected := c.rejections(now, g)
	accountWhy, reservedWhy := c.explainAccount(g), c.explainReservation(now, g)
	switch {
	case wall.Before(g.due):
		return say(reasonDue, "due in %s.", g.due.Sub(wall).Round(time.Second))
	case !c.runsKnown(g):
		return say(reasonInherited, "an earlier scheduler may have started it on a runner that has not reported yet; it waits for this for at most %s more.",
			c.takeoverAt.Add(c.cfg.InheritedRunTimeout).Sub(now).Round(100*time.Millisecond))
	case c.startsWithinLimit(g) == 0:
		return say(reasonLimit, "%s", c.explainLimit(g))
	case !g.begun && fit > 0 && accountWhy.Reason != "":
		return accountWhy
	case !g.begun && reservedWhy.Reason != "":
		return reservedWhy
	case !g.beginMarkStored():
		return say(reasonMark, "the store has not confirmed yet that the step begins.")
	case fit == 0:
		why := say(reasonNoRunner, "no runner could run a task of it, even without other work.")
		why.Rejected = rejected
		return why
	case g.queue.Advice != nil && g.advice.asked == nil:
		return say(reasonAdvice, "the advisor has not answered yet on which runners it may run.")
	case g.queue.Advice != nil && len(g.advice.permitted) == 0:
		return say(reasonAdvice, "the advisor approved none of the %d runners that were named.", len(g.advice.asked))
	}
	if n, runner := c.boundTasks(g); n > 0 && (g.spec.Gang || n == g.waitingTasks) {
		return say(reasonBound, "an earlier start of %d of %d tasks got no answer and may still be carried out, so for now they start nowhere else than there (%s).",
			n, len(g.tasks), runner)
	}
	if accountWhy.Reason != "" {
		return accountWhy
	}
	if g.heldForSpeed(now) {
		why := say(reasonSpeed, "%d of %d tasks wait for a faster runner, for at most %s in all: they would end late on the slow runners that have room (%d of the cell's runners are slow).",
			g.waitingTasks, len(g.tasks), maxSpeedWait, c.slowRunners)
		why.Rejected = rejected
		return why
	}
	if reservedWhy.Reason != "" {
		return reservedWhy
	}
	if g.spec.Gang {
		why := c.explainGang(now, wall, g)
		why.Rejected = rejected
		return why
	}
	why := say(reasonNoCapacity, "%d of %d tasks wait for free capacity on the runners that may run them.", g.waitingTasks, len(g.tasks))
	why.Rejected = rejected
	return why
}

// formatLimit returns a limit for operators; a resource that is 0 is not limited.
func formatLimit(r model.Resources) string {
	part := func(amount int64, unit string) string {
		if amount == 0 {
			return "any " + unit
		}
		return fmt.Sprintf("%d %s", amount, unit)
	}
	return part(r.MilliCPU, "milli-CPU") + ", " + part(r.MemoryMB, "MB") + " and " + part(r.Accelerators, "accelerators")
}

// explainAccount returns why a group waits because of its account; no reason if it does not.
func (c *Cell) explainAccount(g *group) model.Explanation {
	a := g.job.account
	if a == nil {
		return model.Explanation{}
	}
	if g.job.excess {
		return model.Explanation{Reason: reasonExcess, Sentence: fmt.Sprintf(
			"the client account %s has submitted more than its %g jobs per second; the job is beyond them and runs on capacity that other work leaves.",
			a.Name, a.Weight)}
	}
	if share, other := c.overShare(g); other != nil {
		return model.Explanation{Reason: reasonShare, Sentence: fmt.Sprintf(
			"the client account %s holds %.1f%% of the capacity, more for its weight than %s, whose work goes first.", a.Name, 100*share, other.name())}
	}
	return model.Explanation{}
}

// formatResources returns amounts of resources for operators.
func formatResources(r model.Resources) string {
	return fmt.Sprintf("%d milli-CPU, %d MB and %d accelerators", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

// rejections returns how many runners could run a task of the group if they were empty, and
// counts the runners that cannot run it now by reason.
func (c *Cell) rejections(now time.Time, g *group) (int, map[string]int) {
	counts := make(map[string]int)
	fit := 0
	for _, r := range c.sortedRunners {
		switch {
		case r.info.Pool != g.job.Pool:
			counts["pool"]++
		case g.spec.RunnerLabel != "" && !r.hasLabel(g.spec.RunnerLabel):
			counts["label"]++
		case !g.claim().Fits(r.info.Capacity):
			counts["size"]++
		case !r.usable(now):
			fit++
			counts["not_usable"]++
		case g.queue.Advice != nil && g.advice.asked[r.info.ID] && !g.advice.approved[r.info.ID]:
			fit++
			counts["not_approved"]++
		case !g.claim().Fits(r.free()):
			fit++
			counts["room"]++
		default:
			fit++
		}
	}
	return fit, counts
}

// RunnerState tells whether new work may start on a runner, and if not, why.
type RunnerState string

// The states of a runner.
const (
	RunnerLive        RunnerState = "live"
	RunnerSilent      RunnerState = "silent"
	RunnerQuarantined RunnerState = "quarantined"
	RunnerDraining    RunnerState = "draining"
	RunnerLeaving     RunnerState = "leaving"
)

// RunnerView is a runner as shown to operators.
type RunnerView struct {
	ID       string          `json:"id"`
	Zone     string          `json:"zone"`
	Rack     string          `json:"rack"`
	State    RunnerState     `json:"state"`
	Capacity model.Resources `json:"capacity"`
	Used     model.Resources `json:"used"`
	Runs     int             `json:"runs"`
	// Speed is the estimated speed relative to the median of the pool; 0 if it is not known. Slow and Fast tell that
	// placement takes it into account.
	Speed float64 `json:"speed,omitempty"`
	Slow  bool    `json:"slow,omitempty"`
	Fast  bool    `json:"fast,omitempty"`
}

// RunnerViews returns the known runners by id.
func (c *Cell) RunnerViews(now time.Time) []RunnerView {
	out := make([]RunnerView, len(c.sortedRunners))
	for i, r := range c.sortedRunners {
		state := RunnerLive
		switch {
		case !r.listed:
			state = RunnerLeaving
		case r.suspect || !r.reported:
			state = RunnerSilent
		case r.info.Draining:
			state = RunnerDraining
		case now.Before(r.quarantinedUntil):
			state = RunnerQuarantined
		}
		out[i] = RunnerView{
			ID: r.info.ID, Zone: r.info.Zone, Rack: r.info.Rack, State: state,
			Capacity: r.info.Capacity, Used: r.used, Runs: len(r.runs), Speed: r.speed.relative(), Slow: r.speed.slow, Fast: r.speed.fast,
		}
	}
	return out
}
