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

// VMList answers GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}
