// Package dispatch carries out the decisions of the scheduling engine on the
// workers of a zone and learns from the workers what runs.
package dispatch

import (
	"context"
	"errors"
	"fmt"

	wire "rhubarbstall.example/wire/worker"
)

// ErrNotSent means that no byte of a call left this process.
var ErrNotSent = errors.New("call to worker not sent")

// ErrNoReply means that a call was sent and no complete reply arrived.
var ErrNoReply = errors.New("no reply from worker")

// RefusedError is the refusal of a whole call by a worker.
type RefusedError struct {
	wire.Refusal
}

// Error names the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker refused: %s (epoch %d, owner %q)", e.Code, e.Epoch, e.OwnerID)
}

// Transport calls workers. Every error is a *RefusedError or wraps ErrNotSent
// or ErrNoReply. Implementations are safe for concurrent use.
type Transport interface {
	Sync(ctx context.Context, addr string, req *wire.SyncRequest) (*wire.SyncResponse, error)
	Start(ctx context.Context, addr string, req *wire.StartRequest) (*wire.StartResponse, error)
	Control(ctx context.Context, addr string, req *wire.ControlRequest) error
}
