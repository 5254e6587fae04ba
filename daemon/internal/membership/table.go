package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// table holds the members under one lock. Its invariants: an ID has one record, that
// of its newest known incarnation; the states dead and left are final for an
// incarnation.
type table struct {
	mu   sync.RWMutex
	self Member
	// members holds the other members by ID, and byAddr the ID of the last member heard
	// of at each peer address.
	members map[string]*record
	byAddr  map[string]string
	// listed holds the IDs of the entry VMs in the platform's VM list, and of members
	// that were dropped from it while they were alive.
	listed map[string]bool
}

// record is a member with the data from which its state is derived.
type record struct {
	Member
	// refusals is the number of consecutive refused connections.
	refusals int
	// endedAt is when the member was found dead or left.
	endedAt time.Time
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

// update records information about a member that is age old. It returns false for
// information about this entry VM or about an ended or earlier incarnation, which it
// ignores. It also ignores information that is older than what it knows of the same
// incarnation, but returns true.
func (t *table) update(now time.Time, in memberInfo, age time.Duration) bool {
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
		// Only newer information replaces the record of another incarnation.
		if at.Before(r.LastHeard) {
			return false
		}
		*r = record{}
	case r.State == Dead || r.State == Left:
		return false
	case at.Before(r.LastHeard):
		return true
	}
	t.endPreviousAtAddr(now, in)
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

// endPreviousAtAddr marks a member dead if another member now uses its address.
func (t *table) endPreviousAtAddr(now time.Time, in memberInfo) {
	other, ok := t.byAddr[in.PeerAddr]
	if !ok || other == in.ID {
		return
	}
	if r, ok := t.members[other]; ok && r.PeerAddr == in.PeerAddr {
		r.markEnded(now, Dead)
	}
}

// connectionRefused records a refused connection to a member's address.
func (t *table) connectionRefused(now time.Time, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.members[t.byAddr[addr]]
	if !ok || r.PeerAddr != addr {
		return
	}
	r.refusals++
	if r.refusals >= refusalsUntilDead {
		r.markEnded(now, Dead)
	}
}

// markLeft records that an incarnation announced its exit.
func (t *table) markLeft(now time.Time, id string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.members[id]; ok && r.Incarnation == incarnation {
		r.markEnded(now, Left)
	}
}

// markEnded sets the state of an incarnation to dead or left, unless it is already
// one of them.
func (r *record) markEnded(now time.Time, s State) {
	if r.State == Dead || r.State == Left {
		return
	}
	r.State = s
	r.endedAt = now
}

// updateStates switches members between alive and suspect, and removes those that
// ended more than endedRetention ago.
func (t *table) updateStates(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remoteLimit := remoteSuspectIntervals * t.remoteIntervalLocked()
	for id, r := range t.members {
		limit := remoteLimit
		if r.Zone == t.self.Zone {
			limit = suspectTimeout
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
			if now.Sub(r.endedAt) > endedRetention {
				delete(t.members, id)
				if t.byAddr[r.PeerAddr] == id {
					delete(t.byAddr, r.PeerAddr)
				}
			}
		}
	}
}

// remoteIntervalLocked returns the time between heartbeats to each other zone. The
// caller holds the lock.
func (t *table) remoteIntervalLocked() time.Duration {
	zones := make(map[string]bool)
	for _, r := range t.members {
		zones[r.Zone] = true
	}
	return max(minRemoteInterval, time.Duration(len(zones))*remoteIntervalPerZone)
}

// applyVMList marks a suspect member dead if it was in the platform's VM list and is
// no longer. It adds no members. The list lags: it drops a VM late, never early.
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
			r.markEnded(now, Dead)
		}
		// A member that is no longer listed but still alive stays in the set, so that
		// it is marked dead once it is suspect.
		if r, ok := t.members[id]; ok && !listed[id] && r.State == Alive {
			listed[id] = true
		}
	}
	t.listed = listed
}

// remoteHeartbeatInterval is remoteIntervalLocked for callers without the lock.
func (t *table) remoteHeartbeatInterval() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.remoteIntervalLocked()
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

// list returns the members that keep accepts, this entry VM included, in order of ID.
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
