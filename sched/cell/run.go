package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// RunPhase is what the scheduler knows about a run.
type RunPhase int

// The phases of a run.
const (
	// Sending means that the start order is being sent.
	Sending RunPhase = iota
	// OutcomeUnknown means that the start order got no answer; the run may exist, now or
	// later.
	OutcomeUnknown
	// Active means that the runner confirmed the run.
	Active
	// Stopping means that the run was ordered to stop.
	Stopping
)

// runKey identifies a run on a runner.
type runKey struct {
	task      TaskRef
	execution int64
}

// task returns the task of a run, or nil if none is known: the tasks of a job are dropped once its final
// state is stored, while the runner may still list a run.
func (r *Run) task() *task {
	if r.group == nil || r.Task.Index >= len(r.group.tasks) {
		return nil
	}
	return &r.group.tasks[r.Task.Index]
}

// Run is one execution of a task on a runner.
type Run struct {
	Task        TaskRef
	Execution   int64
	Runner      string
	Incarnation int64
	// Fence is the token of the start order, or the runner's fence when the run was last listed after a restart.
	Fence   int64
	Phase   RunPhase
	Started time.Time

	group *group
	// claimed is the part of the runner's capacity that the run occupies.
	claimed model.Resources
	// account is the client account that the run belongs to, nil for none, and size the part of its limit that the run
	// takes.
	account *account
	size    model.Resources
	// confirmedAt is when the runner first confirmed the run.
	confirmedAt time.Time
	percent     float64
	// gauge is the tail latency of a serving task in ms, and the milli-CPU in use of any
	// other task.
	gauge float64
	// pacePercent is the share of its full speed at which a best-effort run works.
	// nextPaceAt is the earliest time of the next pace order.
	pacePercent    int
	nextPaceAt     time.Time
	lastProgressAt time.Time
	checkpoint     string
	// listedAt is when the runner last listed the run. Its progress is measured since windowFrom, when it was at
	// windowPercent; see compareProgress.
	listedAt, windowFrom time.Time
	windowPercent        float64
	// sampleID identifies the run among the samples of its runner's speed; 0 if its progress gave none. firstPace is
	// the logarithm of its pace in the first one relative to firstOthers others, firstOwnPace that of its pace alone,
	// firstSpeed that of the runner's speed then, and paceChanged tells whether the last comparison differed; see
	// rateRun.
	sampleID              int64
	firstPace, firstSpeed float64
	firstOwnPace          float64
	firstOthers           int
	paceChanged           bool
	// slowdown is by how much longer the run is expected to take than at the usual speed, below 1 on fast runners; 0 if
	// the speed of its runners is usual.
	slowdown float64
	// stopAckedAt is when the runner acknowledged the stop order.
	stopAckedAt time.Time
	stopSentAt  time.Time
	// heldUntil is until when a run whose start got no answer may exist on a runner that restarted
	// before the order arrived; see holdUnanswered.
	heldUntil time.Time
	// attempt identifies the last order to start the run. refusedAsOld tells that the runner refused one because it knows
	// the execution, or a later one, as stopped or ended.
	attempt      int
	refusedAsOld bool
	// outcomeUnknownSince is when the caller stopped waiting for the answer to the start
	// order.
	outcomeUnknownSince time.Time
	// orphan marks a run that no task waits for; it only occupies capacity until it ends.
	orphan bool
	// adopted marks a run that an earlier scheduler started.
	adopted bool
	// isCopy marks the second run of a task; see straggler.go.
	isCopy bool
	// passed marks a run that started on capacity which a gang had reserved.
	passed bool
	// resumed marks a run that started from a checkpoint.
	resumed bool
	// gangAssembled tells whether all members of the run's gang were active at the same
	// time; from then on they end together.
	gangAssembled bool
	// class is the run's class while it is counted on its runner. colocation holds the sums of the runner when it
	// started, nil if the run is not compared.
	class      classID
	colocation *colocationMark
}
