package dispatch

import (
	"context"
	"time"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// link is what the loop knows of one worker. Its fields are under the loop's lock.
type link struct {
	id   string
	addr string
	info wire.Info
	// instance and sequence are those of the last sync; the instance is empty
	// before the first one.
	instance string
	sequence uint64
	// confirmed tells that the worker reported its full state in a sync that was
	// sent with the quorum. What it reported before may have changed under an
	// earlier holder, which may have had the worker's lease once more.
	confirmed bool
	// heardAt is the time of the last reply, and mayHaveReached that of the end
	// of the last call that renews leases or starts tasks on the worker.
	heardAt        time.Time
	mayHaveReached time.Time
	createdAt      time.Time
	silent         bool
	// expired tells that all leases on a silent worker have certainly lapsed.
	expired bool
	// holdUntil keeps new starts away for a moment after a refusal.
	holdUntil time.Time
	draining  bool
	attempts  map[model.TaskRef]*attempt
	foreign   map[model.TaskRef]foreign
	queue     []*attempt
	// sender tells that a goroutine sends the queue.
	sender bool
	// controlling tells that a call with actions is in progress.
	controlling bool
	// unstored are outcomes that are not stored yet, acks those to acknowledge.
	unstored map[model.TaskRef]bool
	acks     map[model.TaskRef]bool
	// early are outcomes that cannot be handled yet: the records of the jobs are not
	// read, or another attempt of the task is under way.
	early []wire.Outcome
	wake  chan struct{}
	// turn is held during a call to the worker. Calls do not overlap, since a
	// sync raises the epoch and would have a start in flight refused.
	turn chan struct{}
	stop func()
}

func newLink(id string, now time.Time) *link {
	return &link{
		id: id, createdAt: now,
		attempts: make(map[model.TaskRef]*attempt),
		foreign:  make(map[model.TaskRef]foreign),
		unstored: make(map[model.TaskRef]bool),
		acks:     make(map[model.TaskRef]bool),
		wake:     make(chan struct{}, 1),
		turn:     make(chan struct{}, 1),
	}
}

// take waits for the turn to call the worker; it reports false if ctx ended.
func (l *link) take(ctx context.Context) bool {
	select {
	case l.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// give ends the turn.
func (l *link) give() { <-l.turn }

// kick makes the link sync now.
func (l *link) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// state returns the state that the engine sees.
func (l *link) state(now time.Time) model.WorkerState {
	switch {
	case l.silent || !l.confirmed || now.Before(l.holdUntil):
		return model.WorkerSilent
	case l.info.Leaving:
		return model.WorkerLeaving
	case l.draining:
		return model.WorkerDraining
	}
	return model.WorkerLive
}

// capacity returns the capacity that the engine may use: all of it, less the
// attempts that the engine does not know: those found before the job records
// were read, and those that no job needs and that are being stopped.
func (l *link) capacity(tracked func(*attempt) bool) model.Resources {
	c := toResources(l.info.Capacity)
	for _, f := range l.foreign {
		c = c.Sub(f.size)
	}
	for _, a := range l.attempts {
		if !tracked(a) {
			c = c.Sub(a.Size)
		}
	}
	return c
}
