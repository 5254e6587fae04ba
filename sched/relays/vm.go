// Package relays decides which entry VMs relay the scheduler's calls to the runners, and which of
// them relays the calls to a runner.
//
// In a large cell the calls with all runners take more processor time than one VM has, while the
// other VMs are idle. With relays, the scheduler's VM exchanges one stream of batches with each
// of a few VMs. Relays decide nothing and hold no state that has to survive them.
package relays

// VM is an entry VM that can relay calls.
type VM struct {
	Name string
	// Addr is the VM's peer address.
	Addr string
	// Cores is the VM's capacity in cores.
	Cores float64
}
