// Package platform is the client of the platform's key-value service and VM list.
package platform

import (
	"context"
	"errors"
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// Errors of the store. ErrConflict and ErrNotFound are answers of a working service.
// ErrUnavailable means that a write had no effect or that a read failed. ErrAmbiguous
// means that a write may have taken effect; the caller has to read the key to find out.
var (
	ErrConflict       = errors.New("compare-and-swap conflict")
	ErrNotFound       = errors.New("key not found")
	ErrUnavailable    = errors.New("platform unavailable")
	ErrAmbiguous      = errors.New("outcome of platform write unknown")
	ErrBudgetExceeded = errors.New("platform call budget used up")
	ErrTooLarge       = errors.New("value too large for the platform")
)

// AnyRevision makes Put and Delete unconditional.
const AnyRevision = ^uint64(0)

// Store is the platform's key-value service. Every call obeys the deadline of
// its context and the call budget of the entry VM. Implementations are safe for
// concurrent use.
type Store interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (wire.Entry, error)
	// Put writes a key if its revision is ifRevision, where zero means that the key
	// does not exist, and returns the new revision. It returns ErrConflict if the key
	// has another revision. If leaseID is not empty, the key is deleted when that lease
	// ends; Put returns ErrNotFound if the lease does not exist.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64, leaseID string) (uint64, error)
	// Delete removes a key if its revision is ifRevision. It returns ErrNotFound if the
	// key does not exist, and ErrConflict if it has another revision.
	Delete(ctx context.Context, key string, ifRevision uint64) error
	// List returns every entry with the prefix in key order, and the store revision
	// from which a watch reports later changes. It reads page by page.
	List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error)
	// Watch returns the changes to keys with the prefix after a revision. It waits up
	// to wait for the first one.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, error)
	// GrantLease, RenewLease and RevokeLease manage leases. RenewLease returns
	// ErrNotFound if the lease has expired.
	GrantLease(ctx context.Context, ttl time.Duration) (string, error)
	RenewLease(ctx context.Context, id string) error
	RevokeLease(ctx context.Context, id string) error
	// VMs returns the platform's VM list, which lags behind the actual state.
	VMs(ctx context.Context) ([]wire.VM, error)
}
