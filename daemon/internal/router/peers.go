package router

import (
	"math/rand/v2"
	"time"

	"rhubarbstall.example/daemon/internal/membership"
)

// maxZoneReportAge is the maximum age of a report from another zone. With 17
// zones, one entry VM gets such a report every 4.25 s and the others up to 2 s
// later.
const maxZoneReportAge = 8 * time.Second

// maxForwardsWithoutSlots bounds the forwards in progress to one peer from an
// entry VM that has no slots of its own and knows of no free slot. The peer's
// admission controller queues or refuses them.
const maxForwardsWithoutSlots = 16

// peerState is another entry VM to which requests can be forwarded.
type peerState struct {
	member membership.Member
	// credit is the estimated number of the peer's free slots: that of its last report
	// or forward reply, minus the forwards sent since then.
	credit int
	// refusedUrgency is the highest urgency that the peer has refused since its last
	// report, or -1. The peer may reserve its free slots for more urgent kinds.
	refusedUrgency int
	// inFlight is the number of forwards in progress.
	inFlight int
}

// updatePeers resets the credit of each peer that sent a new report and removes
// the peers that cannot take forwards.
func (r *Router) updatePeers(now time.Time) {
	seen := make(map[string]bool, len(r.peers))
	for _, m := range r.cfg.View.Members() {
		if m.ID == r.cfg.Self.ID {
			continue
		}
		usable := m.State == membership.Alive && !m.Report.Draining && m.PeerAddr != ""
		if m.Zone != r.cfg.Self.Zone && now.Sub(m.LastHeard) > maxZoneReportAge {
			usable = false
		}
		if !usable {
			continue
		}
		seen[m.ID] = true
		p, ok := r.peers[m.ID]
		if !ok {
			p = &peerState{}
			r.peers[m.ID] = p
		}
		if !ok || !m.LastHeard.Equal(p.member.LastHeard) || m.Incarnation != p.member.Incarnation {
			p.credit, p.refusedUrgency = m.Report.FreeSlots, -1
			if m.Zone != r.cfg.Self.Zone {
				// The report of a zone comes from one of its entry VMs, which may forward the
				// request once more within the zone.
				p.credit = max(1, p.credit)
			}
		}
		p.member = m
	}
	for id := range r.peers {
		if !seen[id] {
			delete(r.peers, id)
		}
	}
}

// remoteFreeSlots returns the number of slots that other entry VMs are expected
// to have free. Peers of this zone come first; other zones count only if this
// zone has no capacity at all.
func (r *Router) remoteFreeSlots(ownCapacity int) int {
	free, ownZonePeers := 0, 0
	for _, p := range r.peers {
		if p.member.Zone == r.cfg.Self.Zone {
			ownZonePeers++
			free += max(0, p.credit)
		}
	}
	if free > 0 || ownCapacity > 0 {
		return free
	}
	if ownZonePeers > 0 && r.zoneHasRunners() {
		for _, p := range r.peers {
			if p.member.Zone == r.cfg.Self.Zone {
				free += max(0, maxForwardsWithoutSlots-p.inFlight)
			}
		}
		return free
	}
	for _, p := range r.peers {
		free += max(0, p.credit)
	}
	return free
}

// zoneHasRunners reports whether any runner of this zone takes work.
func (r *Router) zoneHasRunners() bool {
	for _, u := range r.upstreams {
		if !u.leaving.isLeaving() && !u.delisted && !u.health.ejected() {
			return true
		}
	}
	return false
}

// pickPeer takes one credit from the better of two random peers of this zone or,
// if otherZones is set, of other zones. It returns nil if no peer has a free slot for
// the urgency of the call.
func (r *Router) pickPeer(c *call, otherZones bool) *peerState {
	candidates := make([]*peerState, 0, len(r.peers))
	for _, p := range r.peers {
		if (p.member.Zone != r.cfg.Self.Zone) == otherZones && p.credit > 0 && c.class.Urgency > p.refusedUrgency {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	p := candidates[rand.IntN(len(candidates))]
	if o := candidates[rand.IntN(len(candidates))]; o.credit > p.credit {
		p = o
	}
	p.credit--
	p.inFlight++
	return p
}

// pickPeerWithShortestQueue returns the peer of this zone with the shortest
// queue, or nil. It is used by an entry VM without slots.
func (r *Router) pickPeerWithShortestQueue() *peerState {
	var best *peerState
	for _, p := range r.peers {
		if p.member.Zone != r.cfg.Self.Zone || p.inFlight >= maxForwardsWithoutSlots {
			continue
		}
		if best == nil || p.load() < best.load() {
			best = p
		}
	}
	if best != nil {
		best.inFlight++
	}
	return best
}

func (p *peerState) load() int { return p.member.Report.QueuedRequests + p.inFlight }
