package platform

// VMRole tells what a VM is used for.
type VMRole string

// The roles of a VM.
const (
	RoleEntry  VMRole = "entry"
	RoleWorker VMRole = "worker"
	RoleRunner VMRole = "runner"
)

// VMState is the platform's view of a VM.
type VMState string

// The states of a VM. A VM that is gone is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list, which lags behind reality.
type VM struct {
	ID               string  `json:"id"`
	Role             VMRole  `json:"role"`
	AvailabilityZone string  `json:"availability_zone"`
	Rack             string  `json:"rack,omitempty"`
	Addr             string  `json:"addr"`
	State            VMState `json:"state"`
}

// VMQuery selects VMs; an empty field selects all. Revision is that of the list
// that the sender has, zero if none.
type VMQuery struct {
	AvailabilityZone string
	Role             VMRole
	Revision         uint64
}

// Names of the query parameters of GET /v1/vms. A service that knows none of
// them answers the whole list.
const (
	ParamZone     = "availability_zone"
	ParamRole     = "role"
	ParamRevision = "revision"
)

// VMList answers GET /v1/vms. Revision changes with the selected VMs. With
// Unchanged set, VMs is empty and the list of the given revision is still current.
type VMList struct {
	Revision  uint64 `json:"revision,omitempty"`
	Unchanged bool   `json:"unchanged,omitempty"`
	VMs       []VM   `json:"vms,omitempty"`
}
