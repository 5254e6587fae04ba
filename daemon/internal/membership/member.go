package membership

import "time"

// State is what this entry VM believes of another one.
type State string

// The states of a member. Silence alone makes a member suspect, never dead:
// it may be frozen with requests in flight. A dead member is proved to be gone;
// a member that left said so itself.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)

// Member is an entry VM as this one knows it.
type Member struct {
	ID          string
	Zone        string
	PeerAddr    string
	Incarnation uint64
	State       State
	// LastHeard is the local time of the last message from the member.
	LastHeard time.Time
	Report    Report
}

// Report is what an entry VM tells about itself in each heartbeat. Its JSON names
// are short, since heartbeats are most of the idle traffic between entry VMs.
type Report struct {
	// SettingsRevision is the highest settings revision that the member has.
	SettingsRevision uint64 `json:"rev,omitempty"`
	// FreeSlots is the number of upstream slots that the member owns and does not use.
	FreeSlots int `json:"free,omitempty"`
	// QueuedRequests is the number of requests that wait for a slot.
	QueuedRequests int `json:"queue,omitempty"`
	// SchedulerEpoch is above zero if the member is the zone scheduler.
	SchedulerEpoch uint64 `json:"epoch,omitempty"`
	// Draining tells that the member takes no new work.
	Draining bool `json:"drain,omitempty"`
	// PlatformReachable tells whether the member's last platform call succeeded.
	PlatformReachable bool `json:"plat,omitempty"`
}
