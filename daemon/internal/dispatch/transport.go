// Package dispatch carries out the decisions of the scheduling engine on the workers
// of a zone and keeps track of the tasks that run there.
package dispatch

import (
	"context"
	"errors"
	"fmt"

	wire "rhubarbstall.example/wire/worker"
)

// ErrNotSent means that the call was not sent, so it had no effect.
var ErrNotSent = errors.New("call to worker not sent")

// ErrNoReply means that the call was sent but no complete reply arrived.
var ErrNoReply = errors.New("no reply from worker")

// RefusedError means that a worker refused a whole call.
type RefusedError struct {
	wire.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker refused: %s (epoch %d, owner %q)", e.Code, e.Epoch, e.OwnerID)
}

// Transport sends calls to workers. Every error is a *RefusedError or wraps
// ErrNotSent or ErrNoReply. Implementations are safe for concurrent use.
type Transport interface {
	Sync(ctx context.Context, addr string, req *wire.SyncRequest) (*wire.SyncResponse, error)
	Start(ctx context.Context, addr string, req *wire.StartRequest) (*wire.StartResponse, error)
	Control(ctx context.Context, addr string, req *wire.ControlRequest) error
}
