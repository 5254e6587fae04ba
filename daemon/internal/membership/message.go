package membership

// Peer methods.
const (
	methodHeartbeat = "membership.heartbeat"
	methodLeave     = "membership.leave"
)

// memberInfo is the encoding of a member in messages.
type memberInfo struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddr    string `json:"addr"`
	Incarnation uint64 `json:"inc"`
	State       State  `json:"state,omitempty"`
	// AgeMillis is the time since the sender last received information from the
	// member.
	AgeMillis int64  `json:"age_ms,omitempty"`
	Report    Report `json:"report"`
}

// heartbeat is both the request and the answer. Digest holds other members that the
// sender knows; it is empty in most heartbeats.
type heartbeat struct {
	Sender memberInfo   `json:"sender"`
	Digest []memberInfo `json:"digest,omitempty"`
	// WantDigest requests a digest of the receiver's zone in the answer.
	WantDigest bool `json:"want,omitempty"`
}

// leave announces that the sender has finished its last request and is exiting.
type leave struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"`
}

// empty is the answer of methods that return nothing.
type empty struct{}
