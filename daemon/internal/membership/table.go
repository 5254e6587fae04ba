package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// table holds the members under one lock. Its invariants: an identity has one
// record, of its newest incarnation known; dead and left are final for an
// incarnation.
type table struct {
	mu      sync.RWMutex
	self    Member
	members map[string]*record
	byAddr  map[string]string
	listed  map[string]bool
}

// record is a member with what its state follows from.
type record struct {
	Member
	refusals int
	endedAt  time.Time
}

func newTable(self Member) *table {
	self.State = Alive
	return &table{
		self:    self,
		members: make(map[string]*record),
		byAddr:  make(map[string]string),
		listed:  make(map[string]bool),
	}
}

// heard records news of a member that is age old. It reports whether the news
// counted; news of an ended incarnation does not.
func (t *table) heard(now time.Time, in info, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in.ID == t.self.ID {
		return false
	}
	at := now.Add(-age)
	r, known := t.members[in.ID]
	switch {
	case !known:
		r = &record{}
		t.members[in.ID] = r
	case r.Incarnation != in.Incarnation:
		// A record of an older incarnation gives way to newer news only.
		if at.Before(r.LastHeard) {
			return false
		}
		*r = record{}
	case r.State == Dead || r.State == Left:
		return false
	case at.Before(r.LastHeard):
		return true
	}
	t.endPrevious(now, in)
	r.ID, r.Zone, r.PeerAddr, r.Incarnation = in.ID, in.Zone, in.PeerAddr, in.Incarnation
	r.Report = in.Report
	r.LastHeard = at
	r.State = Alive
	r.refusals = 0
	if in.State == Dead || in.State == Left {
		r.State = in.State
		r.endedAt = now
	}
	t.byAddr[in.PeerAddr] = in.ID
	return true
}

// endPrevious marks a member dead whose address now answers as another one.
func (t *table) endPrevious(now time.Time, in info) {
	other, ok := t.byAddr[in.PeerAddr]
	if !ok || other == in.ID {
		return
	}
	if r, ok := t.members[other]; ok && r.PeerAddr == in.PeerAddr {
		r.end(now, Dead)
	}
}

// refused records a refused connection to a member's address.
func (t *table) refused(now time.Time, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.members[t.byAddr[addr]]
	if !ok || r.PeerAddr != addr {
		return
	}
	r.refusals++
	if r.refusals >= refusalsForDeath {
		r.end(now, Dead)
	}
}

// left records that an incarnation said that it exits.
func (t *table) left(now time.Time, id string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.members[id]; ok && r.Incarnation == incarnation {
		r.end(now, Left)
	}
}

// end marks the record's incarnation as ended.
func (r *record) end(now time.Time, s State) {
	if r.State == Dead || r.State == Left {
		return
	}
	r.State = s
	r.endedAt = now
}

// refresh recomputes suspicion and forgets members that ended long ago.
func (t *table) refresh(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remoteLimit := remoteSuspectRounds * t.remoteInterval()
	for id, r := range t.members {
		limit := remoteLimit
		if r.Zone == t.self.Zone {
			limit = suspectAfter
		}
		switch r.State {
		case Alive:
			if now.Sub(r.LastHeard) > limit {
				r.State = Suspect
			}
		case Suspect:
			if now.Sub(r.LastHeard) <= limit {
				r.State = Alive
			}
		case Dead, Left:
			if now.Sub(r.endedAt) > forgetAfter {
				delete(t.members, id)
				if t.byAddr[r.PeerAddr] == id {
					delete(t.byAddr, r.PeerAddr)
				}
			}
		}
	}
}

// remoteInterval returns the time between heartbeats to each other zone. The
// caller holds the lock.
func (t *table) remoteInterval() time.Duration {
	zones := make(map[string]bool)
	for _, r := range t.members {
		zones[r.Zone] = true
	}
	return max(minRemoteInterval, time.Duration(len(zones))*remoteIntervalPerZone)
}

// applyVMList takes the platform's list as a hint: it adds nothing, and it ends
// a suspect member that was listed before and is no longer. The list lags, so
// it drops a VM late, never early.
func (t *table) applyVMList(now time.Time, vms []wire.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(t.listed))
	for _, vm := range vms {
		if vm.Role == wire.RoleEntry {
			listed[vm.ID] = true
		}
	}
	for id := range t.listed {
		if r, ok := t.members[id]; ok && !listed[id] && r.State == Suspect {
			r.end(now, Dead)
		}
		// A member that is dropped while it still answers keeps its mark, so that
		// it ends when it falls silent.
		if r, ok := t.members[id]; ok && !listed[id] && r.State == Alive {
			listed[id] = true
		}
	}
	t.listed = listed
}

// remotePace is remoteInterval for callers without the lock.
func (t *table) remotePace() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.remoteInterval()
}

func (t *table) setReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Report = r
}

func (t *table) selfMember(now time.Time) Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	self := t.self
	self.LastHeard = now
	return self
}

func (t *table) get(id string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.members[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// list returns the members that keep accepts, this entry VM included, in order
// of identity.
func (t *table) list(now time.Time, keep func(Member) bool) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Member, 0, len(t.members)+1)
	self := t.self
	self.LastHeard = now
	if keep(self) {
		out = append(out, self)
	}
	for _, r := range t.members {
		if keep(r.Member) {
			out = append(out, r.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
