package membership

import (
	"math/rand/v2"
	"time"

	"rhubarbstall.example/daemon/internal/rendezvous"
)

// plan holds the heartbeats of one round.
type plan struct {
	// zone are the members of the own zone; digest is sent to them.
	zone   []string
	digest []info
	// remote has one member of each other zone, if this entry VM speaks for its zone.
	remote []string
	// unknown are addresses without a member, or whose member ended: a
	// replacement may use them.
	unknown []string
}

// plan decides whom to send heartbeats.
func (l *List) plan(now time.Time) plan {
	var p plan
	view := l.survey()
	p.zone = view.zone
	if view.speaker && now.Sub(l.digestAt) >= digestInterval {
		l.digestAt = now
		p.digest = l.digest(now, func(m Member) bool { return m.Zone != l.cfg.Self.Zone })
	}
	if view.speaker && now.Sub(l.remoteAt) >= l.table.remotePace() {
		l.remoteAt = now
		for _, addrs := range view.remote {
			// A random member of the zone, so that a dead one is passed over in time.
			p.remote = append(p.remote, addrs[rand.IntN(len(addrs))])
		}
	}
	if now.Sub(l.retryAt) >= retryInterval {
		l.retryAt = now
		p.unknown = view.ended
		for _, addr := range l.candidates() {
			if !view.known[addr] {
				view.known[addr] = true
				p.unknown = append(p.unknown, addr)
			}
		}
	}
	return p
}

// survey holds the members by what heartbeats they get.
type survey struct {
	zone    []string
	remote  map[string][]string
	ended   []string
	known   map[string]bool
	speaker bool
}

// survey sorts the members. The one that speaks for a zone is chosen among its
// members that answer.
func (l *List) survey() survey {
	self := l.cfg.Self
	s := survey{remote: make(map[string][]string), known: map[string]bool{self.PeerAddr: true}}
	speakers := []string{self.ID}
	for _, m := range l.Members() {
		if m.ID == self.ID {
			continue
		}
		s.known[m.PeerAddr] = true
		switch {
		case m.State == Dead || m.State == Left:
			s.ended = append(s.ended, m.PeerAddr)
		case m.Zone != self.Zone:
			s.remote[m.Zone] = append(s.remote[m.Zone], m.PeerAddr)
		default:
			s.zone = append(s.zone, m.PeerAddr)
			if m.State == Alive {
				speakers = append(speakers, m.ID)
			}
		}
	}
	s.speaker = rendezvous.Owner("speaker", speakers) == self.ID
	return s
}
