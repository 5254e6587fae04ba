// Package worker defines the JSON types of the protocol between the zone scheduler
// and a worker.
//
// Paths: POST [PathSync], POST [PathTasks], POST [PathControl]. A worker has at
// most one owner at a time. Every request names the owner and its epoch; the
// worker answers 409 with [Refusal] if the epoch is stale, if another owner holds an
// unexpired lease, or if the sender's own lease has expired. A restarted worker has
// lost the record of the lease that it granted last, so it grants no owner lease
// until MaxOwnerLeaseMillis after its start.
package worker

// Paths of the protocol.
const (
	PathSync    = "/v1/sync"
	PathTasks   = "/v1/tasks"
	PathControl = "/v1/control"
)

// MaxOwnerLeaseMillis is the duration of the longest owner lease that a worker grants.
const MaxOwnerLeaseMillis = 10_000

// Owner identifies the zone scheduler that sends a request. Epoch is a fencing
// token: it increases with each change of owner.
type Owner struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// SyncRequest acquires or renews the owner lease, renews the leases of all running
// tasks, acknowledges outcomes and asks for the changes after the sequence number
// Since. If Since is zero, it asks for the full state. If ReleaseLease is set, it
// releases the owner lease instead. LeaseMillis is the duration of the owner lease,
// TaskLeaseMillis that of the task leases.
type SyncRequest struct {
	Owner           Owner     `json:"owner"`
	LeaseMillis     int64     `json:"lease_ms"`
	TaskLeaseMillis int64     `json:"task_lease_ms"`
	Acknowledge     []TaskRef `json:"acknowledge,omitempty"`
	Since           uint64    `json:"since"`
	ReleaseLease    bool      `json:"drop,omitempty"`
}

// SyncResponse holds the changes after Since. If Full is set, Running and Outcomes
// are the complete state. The next sync passes Sequence as Since. Instance changes
// when the worker restarts, which loses its tasks.
type SyncResponse struct {
	Instance string        `json:"instance"`
	Info     Info          `json:"info"`
	Sequence uint64        `json:"sequence"`
	Full     bool          `json:"full"`
	Running  []RunningTask `json:"running,omitempty"`
	Outcomes []Outcome     `json:"outcomes,omitempty"`
}

// Info describes the worker.
type Info struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Capacity         Size   `json:"capacity"`
	Leaving          bool   `json:"leaving,omitempty"`
}

// Size is an amount of resources. MilliCPU is in thousandths of a core.
type Size struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}
