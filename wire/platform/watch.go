package platform

// EventType tells what happened to a watched key.
type EventType string

// The event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change of a watched key. For a delete, Entry carries only the
// key and the revision of the delete.
type Event struct {
	Type  EventType `json:"type"`
	Entry Entry     `json:"entry"`
}

// WatchResponse answers GET /v1/watch?prefix=P&after_revision=R&wait_ms=N. It
// returns at once if changes after R exist, else after the first change or
// after the wait with no events. Compacted means that changes after R are no
// longer known and the caller must list again.
type WatchResponse struct {
	Events    []Event `json:"events"`
	Revision  uint64  `json:"revision"`
	Compacted bool    `json:"compacted,omitempty"`
}
