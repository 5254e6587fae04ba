package engine

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/estimate"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/sched/queue"
)

// jobState is the state that the engine attaches to a job of the ledger.
type jobState struct {
	entry *queue.Entry
	queue *classQueue
	// peakUsed is the largest resource usage reported for any task of the job.
	peakUsed      model.Resources
	runTimes      estimate.JobTimes
	tasksByRack   map[*cache.Rack]int
	reservedNodes []*cache.Node
	// probing allows one task of a parked job to start.
	probing bool
	// plannedAt is when a reservation for the job was last planned.
	plannedAt time.Time
}

func stateOf(j *ledger.Job) *jobState { return j.EngineState.(*jobState) }
