package cell

import (
	"fmt"
	"time"

	"rhubarbstall.example/sched/model"
)

// GangWait tells why a gang waits.
type GangWait struct {
	Job              string
	Occurrence, Step int
	Tasks            int
	Age              time.Duration
	// Reason is one of the reasons of a waiting job; empty if the gang can start.
	Reason string
	// OneRack tells that the gang is to start within one rack; the counts of places are then those
	// of the rack with the most.
	OneRack bool
	// Permitted counts the runners on which the gang may start now. FreePlaces is how many of its tasks
	// find capacity there, EmptyPlaces how many find it on all that could be permitted, if they were empty.
	Permitted, FreePlaces, EmptyPlaces int
	// Reserved counts the tasks for which capacity is reserved.
	Reserved int
}

const (
	// minGangWaitAge is the age from which a waiting gang is reported; gangWaitInterval is the time until it is
	// reported again, and maxGangWaits how many are reported at once.
	minGangWaitAge   = 3 * time.Second
	gangWaitInterval = 5 * time.Second
	maxGangWaits     = 5
)

// WaitingGangs returns gangs that have waited for long, each again only after gangWaitInterval.
func (c *Cell) WaitingGangs(now, wall time.Time) []GangWait {
	var out []GangWait
	for _, groups := range [][]*group{c.newlyStartable, c.backlog.ordered(), c.backlog.awaitingInherited} {
		for _, g := range groups {
			if len(out) == maxGangWaits {
				return out
			}
			if !g.spec.Gang || !g.hasWaitingTasks() || g.age(now, wall) < minGangWaitAge || now.Before(g.nextWaitReport) {
				continue
			}
			g.nextWaitReport = now.Add(gangWaitInterval)
			out = append(out, c.gangWait(now, wall, g))
		}
	}
	return out
}

func (c *Cell) gangWait(now, wall time.Time, g *group) GangWait {
	w := GangWait{
		Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Tasks: len(g.tasks), Age: g.age(now, wall),
		OneRack: c.fitsOneRack(g), Reserved: len(g.reservedRunners),
	}
	free, empty := make(map[string]int), make(map[string]int)
	for _, r := range c.sortedRunners {
		refused := g.queue.Advice != nil && g.advice.asked[r.info.ID] && !g.advice.approved[r.info.ID]
		if r.info.Pool != g.job.Pool || refused || !g.fitsEmptyRunner(r) {
			continue
		}
		rack := ""
		if w.OneRack {
			rack = r.info.Rack
		}
		empty[rack] += g.places(r.info.Capacity)
		w.EmptyPlaces = max(w.EmptyPlaces, empty[rack])
		if _, ok := g.ticketFor(now, r); !ok || !r.usable(now) || g.avoids(now, r) {
			continue
		}
		w.Permitted++
		free[rack] += g.places(r.free())
		w.FreePlaces = max(w.FreePlaces, free[rack])
	}
	w.Reason = c.gangWaitReason(now, wall, g, &w)
	return w
}

func (c *Cell) gangWaitReason(now, wall time.Time, g *group, w *GangWait) string {
	switch {
	case wall.Before(g.due):
		return reasonDue
	case !c.runsKnown(g):
		return reasonInherited
	case c.startsWithinLimit(g) == 0:
		return reasonLimit
	case !g.beginMarkStored():
		return reasonMark
	case g.waitingTasks < len(g.tasks):
		return reasonEarlierAttempt
	case now.Before(g.pausedUntil):
		return reasonPaused
	case w.EmptyPlaces < w.Tasks:
		return reasonNoRunner
	case g.queue.Advice != nil && w.Permitted == 0:
		return reasonAdvice
	case w.FreePlaces < w.Tasks:
		return reasonNoCapacity
	}
	return ""
}

// explainGang returns what a gang waits for besides what each group may wait for.
func (c *Cell) explainGang(now, wall time.Time, g *group) model.Explanation {
	w := c.gangWait(now, wall, g)
	where := ""
	switch {
	case w.OneRack:
		where = " on one rack"
	case g.spec.SameRack:
		where = " on several racks, since no rack could hold all of them"
	}
	why := model.Explanation{Reason: w.Reason}
	switch w.Reason {
	case reasonEarlierAttempt:
		why.Sentence = fmt.Sprintf("%d members of an earlier attempt have not ended yet.", w.Tasks-g.waitingTasks)
	case reasonPaused:
		why.Sentence = fmt.Sprintf("pauses for %s after an incomplete start.", g.pausedUntil.Sub(now).Round(100*time.Millisecond))
	case reasonNoRunner:
		why.Sentence = fmt.Sprintf("its %d tasks start together, and the runners that may run it could hold %d of them, even without other work.", w.Tasks, w.EmptyPlaces)
	default:
		why.Reason = reasonNoCapacity
		why.Sentence = fmt.Sprintf("its %d tasks start together%s; the %d runners on which they may start now have free capacity for %d of them, and capacity is reserved for %d.",
			w.Tasks, where, w.Permitted, w.FreePlaces, w.Reserved)
	}
	return why
}
