// Package membership tracks the entry VMs of a deployment by heartbeats.
package membership

// View is the list of entry VMs. Implementations are safe for concurrent use.
type View interface {
	// Self returns this entry VM.
	Self() Member
	// Members returns every known entry VM, this one included, in order of ID.
	Members() []Member
	// InZone returns the members of an availability zone in order of ID.
	InZone(zone string) []Member
	// Get returns a member by ID.
	Get(id string) (Member, bool)
}
