package worker

// StartRequest starts a batch of tasks. The worker accepts or refuses each task
// independently of the others.
type StartRequest struct {
	Owner Owner      `json:"owner"`
	Tasks []TaskSpec `json:"tasks"`
}

// StartResult is the result for one task. Refusal is empty if the task started.
type StartResult struct {
	Ref     TaskRef     `json:"ref"`
	Refusal RefusalCode `json:"refusal,omitempty"`
}

// StartResponse has one result for each task, in the order of the request.
type StartResponse struct {
	Results []StartResult `json:"results"`
}

// RefusalCode is the reason why a worker refused a request or a task.
type RefusalCode string

// The refusal codes.
const (
	RefusedStaleEpoch   RefusalCode = "stale_epoch"
	RefusedOtherOwner   RefusalCode = "other_owner"
	RefusedLeaseLapsed  RefusalCode = "lease_lapsed"
	RefusedNoCapacity   RefusalCode = "no_capacity"
	RefusedStaleAttempt RefusalCode = "stale_attempt"
	RefusedLeaving      RefusalCode = "leaving"
)

// Refusal is the body of a 409 answer. Epoch is the highest epoch that the worker has
// seen. RemainingMillis is the remaining time of the current owner's lease.
type Refusal struct {
	Code            RefusalCode `json:"code"`
	Epoch           uint64      `json:"epoch"`
	OwnerID         string      `json:"owner_id,omitempty"`
	RemainingMillis int64       `json:"remaining_ms"`
}
