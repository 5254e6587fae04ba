package cache

import (
	"time"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Reservation reserves resources of a worker for one job until the job starts there.
type Reservation struct {
	Job *ledger.Job
	// Size is the amount that the job needs on this worker.
	Size model.Resources
	// ExpectedStart is when enough resources are expected to be free. Tasks of other
	// jobs may use the reserved resources only if they end before (backfill).
	ExpectedStart time.Time
	// BlocksUrgent also excludes short urgent tasks. It is set if the kind of the job
	// is below its floor.
	BlocksUrgent bool
	// ExpiresAt is when an unused reservation is removed; zero if it does not expire.
	ExpiresAt time.Time
}
