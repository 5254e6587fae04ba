package dispatch

import (
	"context"
	"time"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// link is the state of the connection to one worker. Its fields are guarded by
// Dispatcher.mu.
type link struct {
	id   string
	addr string
	info wire.Info
	// instance and sequence are from the last sync reply; instance is empty before the
	// first sync.
	instance string
	sequence uint64
	// fullStateKnown means that the worker reported its full state in a sync that was
	// sent with the quorum. State that was reported before the quorum may be outdated,
	// because an earlier zone scheduler may have held the worker's lease once more.
	fullStateKnown bool
	// lastReplyAt is the time of the last reply. lastLeaseCallAt is the end of the last
	// call that may have extended leases or started tasks on the worker.
	lastReplyAt     time.Time
	lastLeaseCallAt time.Time
	createdAt       time.Time
	// silent means that the worker has not replied for longer than the owner lease, and
	// leasesExpired that all leases on a silent worker have certainly expired.
	silent        bool
	leasesExpired bool
	// backoffUntil is when the worker gets new starts again after a refusal.
	backoffUntil time.Time
	draining     bool
	attempts     map[model.TaskRef]*attempt
	discovered   map[model.TaskRef]discoveredAttempt
	queue        []*attempt
	// senderRunning means that a goroutine is sending the queue.
	senderRunning bool
	// controlInFlight means that a control call is in progress.
	controlInFlight bool
	// unstoredOutcomes are the reported outcomes that are not stored yet, and
	// pendingAcks the stored ones that have to be acknowledged to the worker.
	unstoredOutcomes map[model.TaskRef]bool
	pendingAcks      map[model.TaskRef]bool
	// deferredOutcomes cannot be processed yet, because the job records are not read or
	// another attempt of the task is in progress.
	deferredOutcomes []wire.Outcome
	wake             chan struct{}
	// callSlot is a semaphore of one call to the worker. Calls must not overlap, because
	// a sync raises the epoch, and the worker would then refuse a start in flight.
	callSlot chan struct{}
	cancel   func()
}

func newLink(id string, now time.Time) *link {
	return &link{
		id: id, createdAt: now,
		attempts:         make(map[model.TaskRef]*attempt),
		discovered:       make(map[model.TaskRef]discoveredAttempt),
		unstoredOutcomes: make(map[model.TaskRef]bool),
		pendingAcks:      make(map[model.TaskRef]bool),
		wake:             make(chan struct{}, 1),
		callSlot:         make(chan struct{}, 1),
	}
}

// acquire waits for the call slot. It returns false if ctx ends first.
func (l *link) acquire(ctx context.Context) bool {
	select {
	case l.callSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release frees the call slot.
func (l *link) release() { <-l.callSlot }

// syncNow triggers a sync without waiting for the next period.
func (l *link) syncNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// state returns the worker state for the engine.
func (l *link) state(now time.Time) model.WorkerState {
	switch {
	case l.silent || !l.fullStateKnown || now.Before(l.backoffUntil):
		return model.WorkerSilent
	case l.info.Leaving:
		return model.WorkerLeaving
	case l.draining:
		return model.WorkerDraining
	}
	return model.WorkerLive
}

// capacity returns the capacity that the engine may use. This is the capacity of the
// worker without the attempts that the engine does not know: attempts that were
// reported before the job records were read, and unneeded attempts that are being
// stopped.
func (l *link) capacity(isTracked func(*attempt) bool) model.Resources {
	c := toResources(l.info.Capacity)
	for _, f := range l.discovered {
		c = c.Sub(f.size)
	}
	for _, a := range l.attempts {
		if !isTracked(a) {
			c = c.Sub(a.Size)
		}
	}
	return c
}
