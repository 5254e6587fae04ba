package router

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	wireplatform "rhubarbstall.example/wire/platform"
)

const (
	methodJoin = "router.join"
	// vmListTimeout is how long a starting entry VM waits for a complete VM list
	// from the platform before it relies on heartbeats alone. Heartbeats are sent
	// every 500 ms, so it has heard from each reachable seed by then.
	vmListTimeout   = 2 * time.Second
	joinCallTimeout = 500 * time.Millisecond
	// unknownIncarnation is stored for an owner that is known only from the member
	// list in a join reply.
	unknownIncarnation = 0
)

// slotID identifies a slot of a runner.
type slotID struct {
	Runner string `json:"runner"`
	Slot   int    `json:"slot"`
}

// joinRequest announces an entry VM that wants to use its assigned slots.
type joinRequest struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// joinReply confirms that the sender counts the joining entry VM as a slot owner
// from now on.
type joinReply struct {
	Incarnation uint64 `json:"incarnation"`
	// Busy lists the slots assigned to the joining entry VM on which the sender
	// still has a request.
	Busy []slotID `json:"busy,omitempty"`
	// Members lists the slot owners that the sender knows.
	Members []string `json:"members"`
}

// joinState tracks the join protocol, which must finish before an entry VM uses
// its slots.
//
// A starting entry VM asks every slot owner of its zone to count it as an owner
// as well. It uses a slot only after all owners have confirmed and no owner has
// a request on that slot. For each pair of entry VMs, one has asked the other,
// so both count each other as owners and rendezvous hashing assigns every slot
// to only one of them. Without the confirmation, an owner that has not yet heard
// of the new entry VM would also use the slot.
type joinState struct {
	startedAt time.Time
	// joined is set once every known owner has confirmed or refused the connection.
	// It is never reset.
	joined bool
	// confirmed holds the incarnation of each owner that confirmed.
	confirmed map[string]uint64
	// learnedOwners holds the incarnations of the entry VMs that sent a join request
	// to this one or were named in a join reply.
	learnedOwners map[string]uint64
	// connectionRefused holds the owners whose port refused the connection, which
	// proves that no process is running there that could use a slot.
	connectionRefused map[string]bool
	// busyElsewhere holds, for each owner, the slots assigned to this entry VM that
	// the owner still uses.
	busyElsewhere map[string][]slotID
}

func newJoinState(now time.Time) *joinState {
	return &joinState{
		startedAt: now, confirmed: map[string]uint64{}, learnedOwners: map[string]uint64{},
		connectionRefused: map[string]bool{}, busyElsewhere: map[string][]slotID{},
	}
}

// countsAsOwner reports whether a member is a slot owner. A silent member still
// is, since it may be frozen with requests in flight; it is removed only when
// its end is proved.
func countsAsOwner(m membership.Member) bool {
	return m.State != membership.Dead && m.State != membership.Left
}

// owners returns the IDs of the slot owners of the zone, including this entry VM.
func (r *Router) owners() []string {
	ids := []string{}
	for _, m := range r.cfg.View.InZone(r.cfg.Self.Zone) {
		if m.ID == r.cfg.Self.ID || countsAsOwner(m) {
			ids = append(ids, m.ID)
		}
	}
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	if !listed[r.cfg.Self.ID] {
		ids = append(ids, r.cfg.Self.ID)
	}
	for id, incarnation := range r.join.learnedOwners {
		if listed[id] || id == r.cfg.Self.ID {
			continue
		}
		// A member that the view knows but that is not in ids has ended, unless it
		// joined with another incarnation.
		if m, ok := r.cfg.View.Get(id); ok && !countsAsOwner(m) && (m.Incarnation == incarnation || incarnation == unknownIncarnation) {
			delete(r.join.learnedOwners, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// handleJoin adds the joining entry VM to the slot owners and returns the slots
// assigned to it that are still busy here.
func (r *Router) handleJoin(_ context.Context, _ string, req *joinRequest) (*joinReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &joinReply{Incarnation: r.cfg.Self.Incarnation}
	if req.Zone == r.cfg.Self.Zone && req.ID != r.cfg.Self.ID {
		r.join.learnedOwners[req.ID] = req.Incarnation
	}
	r.refreshState(r.now())
	reply.Members = r.ownerIDs
	for _, u := range r.upstreams {
		for i := range u.busy {
			if u.busy[i] && r.ownerOf(u.id, i) == req.ID {
				reply.Busy = append(reply.Busy, slotID{Runner: u.id, Slot: i})
			}
		}
	}
	return reply, nil
}

// membersToJoin returns the members that need a join request: those that have
// not confirmed and those that still use slots of this entry VM.
func (r *Router) membersToJoin() []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []membership.Member{}
	for _, id := range r.owners() {
		m, ok := r.cfg.View.Get(id)
		if id == r.cfg.Self.ID || !ok || m.PeerAddr == "" {
			continue
		}
		confirmed := r.join.confirmed[id] == m.Incarnation && m.Incarnation != 0
		if (!r.join.joined && !confirmed) || len(r.join.busyElsewhere[id]) > 0 {
			members = append(members, m)
		}
	}
	return members
}

// sendJoinRequests sends join requests to all membersToJoin and applies the
// replies.
func (r *Router) sendJoinRequests(ctx context.Context) {
	members := r.membersToJoin()
	done := make(chan struct{}, len(members))
	for _, m := range members {
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(ctx, joinCallTimeout)
			defer cancel()
			reply, err := peer.Call[joinRequest, joinReply](ctx, r.cfg.Peers, m.PeerAddr, methodJoin,
				&joinRequest{ID: r.cfg.Self.ID, Zone: r.cfg.Self.Zone, Incarnation: r.cfg.Self.Incarnation})
			if err == nil {
				r.recordJoinReply(m.ID, reply)
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.join.connectionRefused[m.ID] = errors.Is(err, peer.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
		}()
	}
	for range members {
		<-done
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeJoin(r.now())
	r.refreshState(r.now())
	r.dispatchQueued(r.now())
}

func (r *Router) recordJoinReply(id string, reply *joinReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.join.confirmed[id] = reply.Incarnation
	r.join.busyElsewhere[id] = reply.Busy
	delete(r.join.connectionRefused, id)
	for _, other := range reply.Members {
		if other == r.cfg.Self.ID {
			continue
		}
		if _, ok := r.join.learnedOwners[other]; !ok {
			r.join.learnedOwners[other] = unknownIncarnation
		}
	}
}

// completeJoin sets joined once every owner has confirmed or has refused the
// connection. It also drops the busy slots of owners that are gone.
func (r *Router) completeJoin(now time.Time) {
	owners := r.owners()
	if !r.join.joined {
		if !r.vmListComplete(owners) && now.Sub(r.join.startedAt) < r.vmListTimeout {
			return
		}
		for _, id := range owners {
			if id == r.cfg.Self.ID || r.join.connectionRefused[id] {
				continue
			}
			m, ok := r.cfg.View.Get(id)
			if !ok || r.join.confirmed[id] == 0 || r.join.confirmed[id] != m.Incarnation {
				return
			}
		}
		r.join.joined = true
		r.log.Info("[router] join completed; using the assigned runner slots", zap.Int("owners", len(owners)))
	}
	live := make(map[string]bool, len(owners))
	for _, id := range owners {
		live[id] = true
	}
	for id := range r.join.busyElsewhere {
		if !live[id] {
			delete(r.join.busyElsewhere, id)
		}
	}
}

// vmListComplete reports whether the platform's VM list contains this entry VM
// and every live entry VM of the zone on the list is among the owners.
func (r *Router) vmListComplete(owners []string) bool {
	vms, at := r.cfg.VMs.VMs()
	if at.IsZero() {
		return false
	}
	known := make(map[string]bool, len(owners))
	for _, id := range owners {
		known[id] = true
	}
	// A list that lacks this entry VM may also lack others that started at the same
	// time; two such entry VMs would each take every slot.
	selfListed := false
	for _, vm := range vms {
		if vm.Role != wireplatform.RoleEntry || vm.AvailabilityZone != r.cfg.Self.Zone {
			continue
		}
		selfListed = selfListed || vm.ID == r.cfg.Self.ID
		if m, ok := r.cfg.View.Get(vm.ID); ok && !countsAsOwner(m) {
			continue
		}
		if !known[vm.ID] {
			return false
		}
	}
	return selfListed
}
