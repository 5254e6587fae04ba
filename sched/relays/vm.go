// Package relays decides which entry VMs relay the scheduler's calls to the runners, and which of
// them relays the calls to a runner.
//
// In a large cell, calling every runner takes more processor time than the scheduler's VM has, while
// other VMs are idle. The scheduler then sends batches of calls to a few other VMs, the relays, which
// make the calls and send back the answers. Relays decide nothing and hold nothing that the cell
// needs after their loss.
package relays

// VM is an entry VM that can relay calls.
type VM struct {
	Name string
	// Addr is the VM's peer address.
	Addr string
	// Cores is the VM's capacity in cores.
	Cores float64
}
