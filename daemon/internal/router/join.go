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
	// joinGrace is how long a starting entry VM waits for the platform's list
	// before it trusts the heartbeats alone. Heartbeats are sent each 500 ms, so
	// each reachable seed was heard by then.
	joinGrace   = 2 * time.Second
	joinTimeout = 500 * time.Millisecond
	// hearsay stands for the incarnation of an owner that only a reply named.
	hearsay = 0
)

// slotRef names a slot of a runner.
type slotRef struct {
	Runner string `json:"runner"`
	Slot   int    `json:"slot"`
}

// joinRequest announces an entry VM that wants to use the slots it owns.
type joinRequest struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// joinReply confirms that the sender counts the caller as an owner from now on.
type joinReply struct {
	Incarnation uint64 `json:"incarnation"`
	// Busy lists the slots of the caller on which the sender still has a request.
	Busy []slotRef `json:"busy,omitempty"`
	// Members lists the owners that the sender counts.
	Members []string `json:"members"`
}

// joinState tracks what an entry VM must know before it uses its slots.
//
// An entry VM that starts asks every owner of its zone to count it as an owner,
// and uses a slot only after all confirmed and none has a request on the slot.
// Of two entry VMs, one asked the other or was asked by it, so both count each
// other, and by the rendezvous weights only one of them owns a given slot.
// Without the confirmation an owner that has not yet heard of the newcomer
// would use the slot too.
type joinState struct {
	since time.Time
	// joined is set once every owner known at the start confirmed.
	joined bool
	// confirmed holds the incarnation of each owner that confirmed.
	confirmed map[string]uint64
	// asked holds the entry VMs that asked this one, and those named in replies.
	asked map[string]uint64
	// refused holds the owners whose port refused the connection: no process is
	// there that could use a slot.
	refused map[string]bool
	// blocked holds the slots that an owner still uses.
	blocked map[string][]slotRef
}

func newJoinState(now time.Time) *joinState {
	return &joinState{
		since: now, confirmed: map[string]uint64{}, asked: map[string]uint64{},
		refused: map[string]bool{}, blocked: map[string][]slotRef{},
	}
}

// counts tells whether a member is an owner: a silent one is, since it may be
// frozen with requests in flight. Only the proof of its end removes it.
func counts(m membership.Member) bool {
	return m.State != membership.Dead && m.State != membership.Left
}

// owners returns the identities of the owners of the zone's slots, this entry
// VM included.
func (r *Router) owners() []string {
	ids := []string{}
	for _, m := range r.cfg.View.InZone(r.cfg.Self.Zone) {
		if m.ID == r.cfg.Self.ID || counts(m) {
			ids = append(ids, m.ID)
		}
	}
	seen := make(map[string]bool, len(ids))
	for _, id := range ids {
		seen[id] = true
	}
	if !seen[r.cfg.Self.ID] {
		ids = append(ids, r.cfg.Self.ID)
	}
	for id, incarnation := range r.join.asked {
		if seen[id] || id == r.cfg.Self.ID {
			continue
		}
		// A member that the view knows and does not list above is proved gone,
		// unless it asked with another incarnation.
		if m, ok := r.cfg.View.Get(id); ok && !counts(m) && (m.Incarnation == incarnation || incarnation == hearsay) {
			delete(r.join.asked, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// handleJoin counts the caller as an owner and lists its slots that are busy here.
func (r *Router) handleJoin(_ context.Context, _ string, req *joinRequest) (*joinReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &joinReply{Incarnation: r.cfg.Self.Incarnation}
	if req.Zone == r.cfg.Self.Zone && req.ID != r.cfg.Self.ID {
		r.join.asked[req.ID] = req.Incarnation
	}
	r.refresh(r.now())
	reply.Members = r.ownerIDs
	for _, u := range r.upstreams {
		for i := range u.busy {
			if u.busy[i] && r.ownerOf(u.id, i) == req.ID {
				reply.Busy = append(reply.Busy, slotRef{Runner: u.id, Slot: i})
			}
		}
	}
	return reply, nil
}

// pending returns the members that this entry VM has to ask.
func (r *Router) pendingJoins() []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := []membership.Member{}
	for _, id := range r.owners() {
		m, ok := r.cfg.View.Get(id)
		if id == r.cfg.Self.ID || !ok || m.PeerAddr == "" {
			continue
		}
		confirmed := r.join.confirmed[id] == m.Incarnation && m.Incarnation != 0
		if (!r.join.joined && !confirmed) || len(r.join.blocked[id]) > 0 {
			ask = append(ask, m)
		}
	}
	return ask
}

// joinRound asks the owners that have not confirmed, or that still use slots of
// this entry VM.
func (r *Router) joinRound(ctx context.Context) {
	ask := r.pendingJoins()
	done := make(chan struct{}, len(ask))
	for _, m := range ask {
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(ctx, joinTimeout)
			defer cancel()
			reply, err := peer.Call[joinRequest, joinReply](ctx, r.cfg.Peers, m.PeerAddr, methodJoin,
				&joinRequest{ID: r.cfg.Self.ID, Zone: r.cfg.Self.Zone, Incarnation: r.cfg.Self.Incarnation})
			if err == nil {
				r.confirm(m.ID, reply)
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.join.refused[m.ID] = errors.Is(err, peer.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
		}()
	}
	for range ask {
		<-done
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settleJoin(r.now())
	r.refresh(r.now())
	r.pump(r.now())
}

func (r *Router) confirm(id string, reply *joinReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.join.confirmed[id] = reply.Incarnation
	r.join.blocked[id] = reply.Busy
	delete(r.join.refused, id)
	for _, other := range reply.Members {
		if other == r.cfg.Self.ID {
			continue
		}
		if _, ok := r.join.asked[other]; !ok {
			r.join.asked[other] = hearsay
		}
	}
}

// settleJoin ends the start phase once every owner confirmed.
func (r *Router) settleJoin(now time.Time) {
	owners := r.owners()
	if !r.join.joined {
		if !r.listComplete(owners) && now.Sub(r.join.since) < r.joinGrace {
			return
		}
		for _, id := range owners {
			if id == r.cfg.Self.ID || r.join.refused[id] {
				continue
			}
			m, ok := r.cfg.View.Get(id)
			if !ok || r.join.confirmed[id] == 0 || r.join.confirmed[id] != m.Incarnation {
				return
			}
		}
		r.join.joined = true
		r.log.Info("[router] entry VM uses its runner slots", zap.Int("owners", len(owners)))
	}
	live := make(map[string]bool, len(owners))
	for _, id := range owners {
		live[id] = true
	}
	for id := range r.join.blocked {
		if !live[id] {
			delete(r.join.blocked, id)
		}
	}
}

// listComplete tells whether the platform's list names this entry VM and every
// live entry VM of the zone on it is among the owners.
func (r *Router) listComplete(owners []string) bool {
	vms, at := r.cfg.VMs.VMs()
	if at.IsZero() {
		return false
	}
	known := make(map[string]bool, len(owners))
	for _, id := range owners {
		known[id] = true
	}
	// A list that does not name this entry VM yet may lack others that started
	// with it; two of them would each take every slot.
	named := false
	for _, vm := range vms {
		if vm.Role != wireplatform.RoleEntry || vm.AvailabilityZone != r.cfg.Self.Zone {
			continue
		}
		named = named || vm.ID == r.cfg.Self.ID
		if m, ok := r.cfg.View.Get(vm.ID); ok && !counts(m) {
			continue
		}
		if !known[vm.ID] {
			return false
		}
	}
	return named
}
