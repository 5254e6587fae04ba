package membership

// Peer methods.
const (
	methodHeartbeat = "membership.heartbeat"
	methodLeave     = "membership.leave"
)

// info is a member as it travels in messages.
type info struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddr    string `json:"addr"`
	Incarnation uint64 `json:"inc"`
	State       State  `json:"state,omitempty"`
	// AgeMillis is the time since the sender last heard of the member.
	AgeMillis int64  `json:"age_ms,omitempty"`
	Report    Report `json:"report"`
}

// heartbeat is sent and answered. Digest holds further members that the sender
// knows; it is empty in most heartbeats.
type heartbeat struct {
	Sender info   `json:"sender"`
	Digest []info `json:"digest,omitempty"`
	// WantDigest asks for the receiver's zone in the answer.
	WantDigest bool `json:"want,omitempty"`
}

// leave tells that the sender finished its last request and exits.
type leave struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"`
}

// empty is the answer of methods that return nothing.
type empty struct{}
