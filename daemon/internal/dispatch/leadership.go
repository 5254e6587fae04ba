package dispatch

import (
	"time"

	wire "rhubarbstall.example/wire/worker"
)

// Leadership is the Dispatcher's view of a candidacy for zone scheduler: the votes
// of the workers (owner leases) and the quorum. *zonelead.Campaign implements it.
type Leadership interface {
	// NextClaim returns the owner for the next sync with a worker. Its epoch is higher than
	// that of every earlier claim on this worker.
	NextClaim(worker string) wire.Owner
	// MaySend reports whether the quorum and the owner lease of the worker are held now.
	// The returned owner has the epoch that the worker granted last.
	MaySend(worker string) (wire.Owner, bool)
	// HasQuorum reports whether the quorum is held now.
	HasQuorum() bool
	// QuorumReached returns a channel that is closed when the quorum is reached for the
	// first time; QuorumReachedAt returns that time, or the zero time before.
	QuorumReached() <-chan struct{}
	QuorumReachedAt() time.Time
	// LeaseDuration returns the length of the owner leases to request.
	LeaseDuration() time.Duration
	// RecordGrant and RecordRefusal record the reply to a claim.
	RecordGrant(worker, instance string, epoch uint64, sentAt time.Time)
	RecordRefusal(worker string, r wire.Refusal)
	// Workers returns the IDs of the workers of the roster.
	Workers() []string
}
