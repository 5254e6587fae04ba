package platform

// EventType is the kind of change of a watched key.
type EventType string

// The event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is a change of a watched key. For a delete, Entry holds only the key and
// the revision of the delete.
type Event struct {
	Type  EventType `json:"type"`
	Entry Entry     `json:"entry"`
}

// WatchResponse is the answer to GET /v1/watch?prefix=P&after_revision=R&wait_ms=N.
// The call is a long poll: it returns as soon as there are changes after revision R,
// or without events after N ms. Compacted means that the history after R was
// compacted and the caller must list the keys again.
type WatchResponse struct {
	Events    []Event `json:"events"`
	Revision  uint64  `json:"revision"`
	Compacted bool    `json:"compacted,omitempty"`
}
