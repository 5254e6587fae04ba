package membership

import "time"

// State is the state of a member as seen by this entry VM.
type State string

// The states of a member. Missing heartbeats alone make a member suspect, never
// dead, because it may be frozen with requests in flight. A member is dead if its
// process has provably ended, and left if it announced its exit.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)

// Member is an entry VM with the last information about it.
type Member struct {
	ID          string
	Zone        string
	PeerAddr    string
	Incarnation uint64
	State       State
	// LastHeard is the local time at which the last information about the member was
	// current.
	LastHeard time.Time
	Report    Report
}

// Report is the status that an entry VM sends in each heartbeat. Its JSON names are
// short, because heartbeats are most of the idle traffic between entry VMs.
type Report struct {
	// SettingsRevision is the highest settings revision that the member has.
	SettingsRevision uint64 `json:"rev,omitempty"`
	// FreeSlots is the number of unused upstream slots that the member owns.
	FreeSlots int `json:"free,omitempty"`
	// QueuedRequests is the number of requests that wait for a slot.
	QueuedRequests int `json:"queue,omitempty"`
	// SchedulerEpoch is the epoch of the member if it is the zone scheduler, else zero.
	SchedulerEpoch uint64 `json:"epoch,omitempty"`
	// Draining is set if the member accepts no new work.
	Draining bool `json:"drain,omitempty"`
	// PlatformReachable is set if the platform answered the member's last call without
	// a server error.
	PlatformReachable bool `json:"plat,omitempty"`
}
