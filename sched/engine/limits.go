package engine

import "time"

const (
	// urgentFrom is the urgency from which a person waits for the result.
	urgentFrom = 70
	// preemptGap is how much more urgent work must be to stop other work; close
	// urgencies would otherwise stop each other in turn.
	preemptGap = 20
	// agingFloorPercent is the floor of a kind whose oldest job is late, so that
	// work with no configured floor finishes as well.
	agingFloorPercent = 2
	// maxSkips bounds the jobs of a lane that are tried in a round after the
	// first one did not fit.
	maxSkips = 64
	// maxMisses bounds the tasks of a round that do not fit.
	maxMisses = 1024
	// maxPlans bounds the reservations that are planned in a round.
	maxPlans = 2
	// maxPreemptions and maxVictimNodes bound the cost of making room in a round.
	maxPreemptions = 16
	maxVictimNodes = 48
	// roomTimeout ends the claim on room that preemption should have made.
	roomTimeout = 20 * time.Second
	// planNodes bounds the workers that the reservation of a gang considers,
	// planNodesSingle those for a single task, and planEvery the time between two
	// plans for the same job.
	planNodes       = 256
	planNodesSingle = 64
	planEvery       = 5 * time.Second
	// A gang that has waited less than a part of its patience reserves its start
	// only if the idle time is at most a part of its run time: 1/gangDue, 1/idleShare.
	gangDue   = 4
	idleShare = 10
	// holdShare is the part of the workers that may be held when a single task
	// adds a hold: 1/8, up to maxHolds.
	holdShare = 8
	maxHolds  = 64
	// patienceUnset stands in for a policy without patience.
	patienceUnset = 10 * time.Minute
	// recheckEvery is the time between rounds while work waits.
	recheckEvery = time.Second
	// floorMargin is how far above the floor a kind is served first; between the
	// end of one task and the start of the next it would otherwise be below.
	floorMargin = 1.5
	// A kind below its floor may hold more workers, and sooner: under a flood of
	// small tasks no room for a larger one appears by itself.
	floorPlans     = 8
	floorHoldShare = 2
	floorHolds     = 8
	floorPlanEvery = 200 * time.Millisecond
	// controlRetry is the time after which a control without effect is repeated.
	controlRetry = 5 * time.Second
)
