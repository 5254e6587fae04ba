package membership

import (
	"math/rand/v2"
	"time"

	"rhubarbstall.example/daemon/internal/rendezvous"
)

// round lists the peer addresses that get heartbeats in one round.
type round struct {
	// zone has the members of this zone. Their heartbeats carry the digest.
	zone   []string
	digest []memberInfo
	// remote has one member of each other zone if this entry VM is the speaker of
	// its zone.
	remote []string
	// unknown has addresses without a known member, and those of dead and left
	// members, which a replacement may use.
	unknown []string
}

// planRound chooses the addresses that get a heartbeat now.
func (l *List) planRound(now time.Time) round {
	var r round
	groups := l.groupMembers()
	r.zone = groups.zone
	if groups.speaker && now.Sub(l.lastDigest) >= digestInterval {
		l.lastDigest = now
		r.digest = l.digest(now, func(m Member) bool { return m.Zone != l.cfg.Self.Zone })
	}
	if groups.speaker && now.Sub(l.lastRemote) >= l.table.remoteHeartbeatInterval() {
		l.lastRemote = now
		for _, addrs := range groups.remote {
			// The choice is random, so that a dead member does not block its zone.
			r.remote = append(r.remote, addrs[rand.IntN(len(addrs))])
		}
	}
	if now.Sub(l.lastUnknown) >= unknownAddrInterval {
		l.lastUnknown = now
		r.unknown = groups.ended
		for _, addr := range l.knownAddrs() {
			if !groups.known[addr] {
				groups.known[addr] = true
				r.unknown = append(r.unknown, addr)
			}
		}
	}
	return r
}

// memberGroups holds the addresses of the members, grouped by the heartbeats that
// they get, and whether this entry VM is the speaker of its zone.
type memberGroups struct {
	zone    []string
	remote  map[string][]string
	ended   []string
	known   map[string]bool
	speaker bool
}

// groupMembers groups the members. The speaker of a zone, which exchanges heartbeats
// with other zones, is chosen by rendezvous hashing among its alive members.
func (l *List) groupMembers() memberGroups {
	self := l.cfg.Self
	g := memberGroups{remote: make(map[string][]string), known: map[string]bool{self.PeerAddr: true}}
	speakers := []string{self.ID}
	for _, m := range l.Members() {
		if m.ID == self.ID {
			continue
		}
		g.known[m.PeerAddr] = true
		switch {
		case m.State == Dead || m.State == Left:
			g.ended = append(g.ended, m.PeerAddr)
		case m.Zone != self.Zone:
			g.remote[m.Zone] = append(g.remote[m.Zone], m.PeerAddr)
		default:
			g.zone = append(g.zone, m.PeerAddr)
			if m.State == Alive {
				speakers = append(speakers, m.ID)
			}
		}
	}
	g.speaker = rendezvous.Owner("speaker", speakers) == self.ID
	return g
}
