package cell

import (
	"fmt"
	"time"
)

// group holds the tasks of one step in one occurrence of a job.
type group struct {
	job        *Job
	queue      *Queue
	occurrence int
	step       int
	spec       *Step
	tasks      []task
	// open counts the tasks that are not done.
	open int
	// waiting counts the tasks that have no run.
	waiting int
	// due is the earliest start on the wall clock; zero for none.
	due time.Time
	// blockers counts the earlier steps that are not done.
	blockers int
	// gangExecution is the execution of the latest run of a gang.
	gangExecution int64
	// gangFailed holds the executions of a gang that count as failed attempts.
	gangFailed []int64
	// gangCheckpoint is the checkpoint that all members start from.
	gangCheckpoint string
	// avoid holds runners on which a task of the group failed or stalled.
	avoid  map[string]bool
	advice advice
	// rank orders the startable groups; the lowest gets room first. It holds until rankEnds.
	rank     float64
	rankEnds time.Time
	// tier is what finishing the group was worth when it was ranked.
	tier tier
	// promoted marks a group that goes first because it has waited for very long.
	promoted bool
	// reserved holds the runners of the places that are reserved for a gang, one a task.
	reserved []*runner
	// nearSince is when the group's turn was first near.
	nearSince time.Time
	// holding tells whether the reserved room is taken from what the runners have left.
	holding bool
	// replan is when other places may be chosen.
	replan time.Time
	// number orders groups of one rank.
	number int
	// lookAgain is when a group that found no room is looked at again though no runner
	// that it may use has gained any; zero if it has not been looked at.
	lookAgain time.Time
	// listed tells whether the group is in the list of startable groups.
	listed bool
	// readyAt is the steady time from which the group may start again.
	readyAt time.Time
	// incomplete counts the attempts in a row in which the gang did not become complete.
	incomplete int
	// begun tells whether the group is marked as one of which runs may exist. The
	// mark is stored before the first start, so that the next scheduler knows.
	begun bool
	// begunVersion is the version of the job that holds the mark.
	begunVersion int
	// inherited tells whether an earlier scheduler has set the mark.
	inherited bool
}

// key names the group as advice calls do.
func (g *group) key() string {
	return fmt.Sprintf("%s.%d.%d", g.job.ID, g.occurrence, g.step)
}

func (g *group) ref(index int) TaskRef {
	return TaskRef{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: index}
}

// failures returns the failed runs that count against the limit of a task.
func (g *group) failures(index int) int {
	if g.spec.Gang {
		return len(g.gangFailed)
	}
	return len(g.tasks[index].failed)
}
