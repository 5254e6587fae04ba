package dispatch

import (
	"time"

	wire "rhubarbstall.example/wire/worker"
)

// Role is the candidacy under which a loop works. *zonelead.Campaign implements it.
type Role interface {
	// Claim returns the owner for the next sync with a worker. Its epoch is above
	// that of every earlier claim there.
	Claim(worker string) wire.Owner
	// MaySend reports whether the quorum and the worker's lease are held now. The
	// owner has the epoch that the worker granted last.
	MaySend(worker string) (wire.Owner, bool)
	// Holds reports whether the quorum is held now.
	Holds() bool
	// Held is closed when the quorum is held for the first time, at HeldAt.
	Held() <-chan struct{}
	HeldAt() time.Time
	// Lease is the length of the owner lease to ask for.
	Lease() time.Duration
	// Granted and Refused record the answer to a claim.
	Granted(worker, instance string, epoch uint64, sentAt time.Time)
	Refused(worker string, r wire.Refusal)
	// Workers returns the workers of the roster.
	Workers() []string
}
