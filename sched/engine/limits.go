package engine

import "time"

const (
	// minUrgentUrgency is the lowest urgency of work that counts as urgent: a
	// person waits for its result.
	minUrgentUrgency = 70
	// preemptionUrgencyGap is the least difference in urgency for preemption. Without
	// it, kinds of nearly the same urgency would preempt each other in turn.
	preemptionUrgencyGap = 20
	// lateFloorPercent is the least floor of a kind whose oldest job has waited longer
	// than its patience. It prevents starvation of kinds without a configured floor.
	lateFloorPercent = 2
	// maxSkippedJobs is the number of jobs of a class queue that may fail to be placed
	// in a round before the round goes on to other queues.
	maxSkippedJobs = 64
	// maxFailedPlacements is the number of failed placements that end a round.
	maxFailedPlacements = 1024
	// maxReservationsPerRound bounds the reservations of single tasks that are planned
	// in a round.
	maxReservationsPerRound = 2
	// maxPreemptionsPerRound bounds the preemption attempts of a round, and
	// maxPreemptionNodes the workers that are examined in each.
	maxPreemptionsPerRound = 16
	maxPreemptionNodes     = 48
	// preemptedRoomTimeout is how long capacity freed by preemption stays reserved for
	// the job of the task that preempted, and counts for its class queue.
	preemptedRoomTimeout = 20 * time.Second
	// maxGangPlanNodes and maxTaskPlanNodes bound the workers that are considered for
	// the reservation of a gang and of a single task. planInterval is the least time
	// between two plans for the same job.
	maxGangPlanNodes = 256
	maxTaskPlanNodes = 64
	planInterval     = 5 * time.Second
	// A gang that has waited less than 1/gangDuePatienceDivisor of its patience
	// reserves its start only if the reserved capacity would stay idle for at most
	// 1/gangIdleDivisor of the run time of all its tasks.
	gangDuePatienceDivisor = 4
	gangIdleDivisor        = 10
	// Single tasks may reserve workers until 1/reservedWorkersDivisor (1/8) of all
	// workers is reserved, and at most maxReservedWorkers.
	reservedWorkersDivisor = 8
	maxReservedWorkers     = 64
	// defaultPatience applies if a policy sets no patience.
	defaultPatience = 10 * time.Minute
	// recheckInterval is the longest time between rounds while tasks are queued.
	recheckInterval = time.Second
	// floorMarginFactor times its floor is the share up to which a kind is served
	// first. Without a margin its share would fall below the floor between the end of
	// one task and the start of the next.
	floorMarginFactor = 1.5
	// A kind below its floor may reserve more workers, and earlier: while many small
	// tasks are queued, they take all free capacity before a larger task fits.
	belowFloorReservationsPerRound   = 8
	belowFloorReservedWorkersDivisor = 2
	belowFloorReservationsPerJob     = 8
	belowFloorPlanInterval           = 200 * time.Millisecond
	// controlRetryInterval is the time after which a stop is sent again if the attempt
	// still runs.
	controlRetryInterval = 5 * time.Second
)
