// Package membership keeps the list of entry VMs by heartbeats.
package membership

// View is the list of entry VMs. Implementations are safe for concurrent use.
type View interface {
	// Self returns this entry VM.
	Self() Member
	// Members returns every known entry VM, this one included, in order of identity.
	Members() []Member
	// InZone returns the members of an availability zone in order of identity.
	InZone(zone string) []Member
	// Get returns a member by identity.
	Get(id string) (Member, bool)
}
