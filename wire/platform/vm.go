package platform

// VMRole is the purpose of a VM.
type VMRole string

// The roles of a VM.
const (
	RoleEntry  VMRole = "entry"
	RoleWorker VMRole = "worker"
	RoleRunner VMRole = "runner"
)

// VMState is the state of a VM as the platform sees it.
type VMState string

// The states of a VM. A VM that no longer exists is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list. The list is eventually consistent: it
// may lag behind the actual state.
type VM struct {
	ID               string  `json:"id"`
	Role             VMRole  `json:"role"`
	AvailabilityZone string  `json:"availability_zone"`
	Rack             string  `json:"rack,omitempty"`
	Addr             string  `json:"addr"`
	State            VMState `json:"state"`
}

// VMQuery selects VMs; an empty field matches every VM. Revision is the revision of
// the list that the client already has, or zero if it has none.
type VMQuery struct {
	AvailabilityZone string
	Role             VMRole
	Revision         uint64
}

// Names of the query parameters of GET /v1/vms. A service that does not support
// them answers with the whole list.
const (
	ParamZone     = "availability_zone"
	ParamRole     = "role"
	ParamRevision = "revision"
)

// VMList is the answer to GET /v1/vms. Revision changes when the selected VMs change.
// If Unchanged is set, VMs is empty and the list that the client already has is current.
type VMList struct {
	Revision  uint64 `json:"revision,omitempty"`
	Unchanged bool   `json:"unchanged,omitempty"`
	VMs       []VM   `json:"vms,omitempty"`
}
