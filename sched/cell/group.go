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
	// openTasks counts the tasks that are not done.
	openTasks int
	// waitingTasks counts the tasks that are not done and have no run.
	waitingTasks int
	// due is the earliest start on the wall clock; zero for none.
	due time.Time
	// openDependencies counts the steps that the group depends on and that are not done.
	openDependencies int
	// gangExecution is the execution number of the latest attempt of a gang.
	gangExecution int64
	// gangFailed holds the executions of a gang that count as failed attempts.
	gangFailed []int64
	// gangCheckpoint is the checkpoint that all members start from.
	gangCheckpoint string
	// failedOn holds when a task of the group last failed or stalled on a runner.
	failedOn map[string]time.Time
	advice   advice
	// rank orders the startable groups, the lowest first. It is valid until rankValidUntil.
	rank           float64
	rankValidUntil time.Time
	// band is the part of the rank that stands for the tier and the priority; see rankBand.
	band float64
	// taskShare is the dominant share of a waiting task, and limitShare the largest part of a resource of the account's
	// limit that it takes, when the group was ranked; 0 without an account or a limit.
	taskShare, limitShare float64
	// tier is the group's tier when it was ranked.
	tier tier
	// accountShare is the weighted share of its account when a decision last visited the group; 0 while the backlog
	// has the groups of one account only. See fairshare.go.
	accountShare float64
	// withinLimitIn is the number of the last decision in which the limit of its account left room for all its waiting
	// tasks after those of all groups of the account that were visited before.
	withinLimitIn int
	// promoted marks a group that is placed first because it has starved.
	promoted bool
	// reservedRunners holds the runners on which a gang has reserved capacity, one for each
	// task.
	reservedRunners []*runner
	// lookaheadSince is when the group first came within the look-ahead; see
	// withinLookahead.
	lookaheadSince time.Time
	// reservationDeducted tells whether the reservation is deducted from the available
	// capacity of the runners.
	reservationDeducted bool
	// reservedFrom is when the gang is expected to start on its reserved runners. delayedByPassing tells that nothing delays
	// it but runs that passed a reservation.
	reservedFrom     time.Time
	delayedByPassing bool
	idle             idleWait
	// replanAt is when the reservation may be moved to other runners.
	replanAt time.Time
	// sequence orders groups of equal rank by when they first became startable.
	sequence int
	// retryAt is when a group that found no capacity is tried again, even if no runner that
	// it may use has gained any; zero if it has not been tried.
	retryAt time.Time
	// startable tells whether the group is in one of the lists of startable groups.
	startable bool
	// nextWaitReport is when the gang may be reported as waiting again.
	nextWaitReport time.Time
	// pausedUntil is the time, on the monotonic clock, from which the group may start
	// again.
	pausedUntil time.Time
	// incompleteAttempts counts the attempts in a row in which not all gang members
	// started.
	incompleteAttempts int
	// begun is the begin mark: runs of the group may exist. The mark is stored before the
	// first start, so that the next scheduler knows of the runs.
	begun bool
	// begunVersion is the version of the job's state that first contains the mark.
	begunVersion int
	// ended holds the successful runs whose durations are compared once the step is done.
	ended []endedRun
	// unsettledStarts counts the start orders of its tasks that may still be carried out.
	unsettledStarts int
	// watched is true while the group is in stragglers.groups.
	watched bool
	// percentFell tells that the percent of a run fell, so percents of the step do not tell the progress.
	percentFell bool
	// nextProgressAt is when the progress of the runs is compared again, from the task after progressCursor.
	nextProgressAt time.Time
	progressCursor int
	// heldSince is when the group first waited for a faster runner beside free capacity of a slow one, and heldAt when
	// it last did.
	heldSince, heldAt time.Time
	// begunEarlier tells whether an earlier scheduler set the mark.
	begunEarlier bool
}

// adviceKey returns the name of the group in advice calls.
func (g *group) adviceKey() string {
	return fmt.Sprintf("%s.%d.%d", g.job.ID, g.occurrence, g.step)
}

func (g *group) taskRef(index int) TaskRef {
	return TaskRef{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: index}
}

// failedAttempts returns the number of failed attempts that count against the limit of a
// task.
func (g *group) failedAttempts(index int) int {
	if g.spec.Gang {
		return len(g.gangFailed)
	}
	return len(g.tasks[index].failedExecutions)
}
