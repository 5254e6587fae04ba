// Package platform defines the JSON types of the platform's key-value service and VM list.
//
// Paths: GET, PUT and DELETE [PathKV]; GET [PathList]; GET [PathWatch];
// POST [PathLeases], POST and DELETE [PathLeases]/{id}; GET [PathVMs].
// Status codes: 404 unknown key or lease, 412 compare-and-swap conflict
// (body [Conflict]), 413 value above [MaxValueBytes], 429 call rate exceeded,
// 503 outage.
package platform

// Paths of the service.
const (
	PathKV     = "/v1/kv"
	PathList   = "/v1/list"
	PathWatch  = "/v1/watch"
	PathLeases = "/v1/leases"
	PathVMs    = "/v1/vms"
)

// MaxValueBytes is the largest size of a value that the service stores.
const MaxValueBytes = 1 << 20

// Entry is a stored key with its value. Revision is the store-wide revision of the
// last write to the key.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	LeaseID  string `json:"lease_id,omitempty"`
}

// PutRequest writes a key. IfRevision makes it a compare-and-swap: the write takes
// place only if the key has this revision. Zero means that the key must not exist.
type PutRequest struct {
	Key        string  `json:"key"`
	Value      []byte  `json:"value"`
	IfRevision *uint64 `json:"if_revision,omitempty"`
	LeaseID    string  `json:"lease_id,omitempty"`
}

// PutResponse reports the revision of a successful write.
type PutResponse struct {
	Revision uint64 `json:"revision"`
}

// Conflict is the body of a 412 answer. Current is nil if the key does not exist.
type Conflict struct {
	Current *Entry `json:"current,omitempty"`
}
