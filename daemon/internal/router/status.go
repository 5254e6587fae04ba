package router

import (
	"time"

	wire "rhubarbstall.example/wire/runner"
)

// UpstreamStatus describes a runner of the zone.
type UpstreamStatus struct {
	ID string
	// State is "live", "leaving" or "ejected".
	State string
	// OwnedSlots and BusySlots count only the slots of this entry VM.
	OwnedSlots int
	BusySlots  int
	InFlight   int
	ErrorRate  float64
	Latency    time.Duration
}

// QueueStatus describes the queue of one kind in one department.
type QueueStatus struct {
	Department string
	Kind       string
	Waiting    int
	OldestWait time.Duration
	MaxWaiting int
	Refused    int64
}

// FreeSlots returns how many more requests this entry VM could start now on its
// own slots.
func (r *Router) FreeSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, free := r.ownCapacity(r.now())
	return free
}

// QueuedRequests returns the number of requests that wait for a slot.
func (r *Router) QueuedRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.Queued()
}

// Upstreams describes the runners of the zone, sorted by ID.
func (r *Router) Upstreams() []UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]UpstreamStatus, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		s := UpstreamStatus{
			ID: u.id, State: "live", OwnedSlots: u.usableSlots(), InFlight: len(u.health.inFlight),
			ErrorRate: u.health.errorRate, Latency: u.health.latency,
		}
		for i := range wire.Slots {
			if u.usable[i] && u.busy[i] {
				s.BusySlots++
			}
		}
		switch {
		case u.leaving.isLeaving() || u.delisted:
			s.State = wire.StateLeaving
		case u.health.ejected():
			s.State = "ejected"
		}
		all = append(all, s)
	}
	return all
}

// Queues describes the request queues, sorted by kind and department.
func (r *Router) Queues() []QueueStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []QueueStatus{}
	for _, q := range r.admission.Queues(r.now()) {
		all = append(all, QueueStatus{
			Department: q.Department, Kind: q.Kind, Waiting: q.Waiting,
			OldestWait: q.OldestWait, MaxWaiting: q.Limit, Refused: q.Refused,
		})
	}
	return all
}
