package cache

import (
	"time"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Hold keeps the room of a worker for one job until it starts.
type Hold struct {
	Job *ledger.Job
	// Need is the room that the job takes on this worker.
	Need model.Resources
	// Start is when the room is expected to suffice. Other work may use the
	// worker only if it ends before.
	Start time.Time
	// Firm keeps urgent work away as well, because the job's kind is below its floor.
	Firm bool
	// Expires ends a hold that was not used; zero if it does not expire.
	Expires time.Time
}
