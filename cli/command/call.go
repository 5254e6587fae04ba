package command

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ogen-go/ogen/validate"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
)

// callEffect states whether a call changes state on the server.
type callEffect bool

const (
	readOnly callEffect = false
	mutating callEffect = true
)

// failoverReadTimeout limits a read-only call to each server but the last, so that a
// server that does not answer delays the next attempt only for a short time.
const failoverReadTimeout = 5 * time.Second

// call sends a call to one server after the other until one answers. It tries the next
// server only if the call was certainly not sent, or if the call is read-only and the
// server could not answer it.
func call[T any](ctx context.Context, a *app, e callEffect, do func(context.Context, *oas.Client) (T, error)) (T, error) {
	var zero T
	var lastErr error
	for i, server := range a.servers {
		timeout := a.timeout
		if e == readOnly && i < len(a.servers)-1 {
			timeout = min(timeout, failoverReadTimeout)
		}
		res, sent, err := callServer(ctx, timeout, server, do)
		if err == nil {
			return res, nil
		}
		lastErr = classify(err, server, e, sent)
		if ctx.Err() != nil || !canFailOver(lastErr, e, sent) {
			return zero, lastErr
		}
	}
	return zero, lastErr
}

// callServer sends a call to one server. It also returns whether the call may have been
// sent, which is false only if no connection was made.
func callServer[T any](ctx context.Context, timeout time.Duration, server string, do func(context.Context, *oas.Client) (T, error)) (T, bool, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	// A call counts as sent as soon as it has a connection.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	client, err := oas.NewClient(server, oas.WithClient(&http.Client{
		Transport: transport,
		// A redirect would send a mutating call to a second server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}))
	if err != nil {
		return zero, false, err
	}
	res, err := do(ctx, client)
	return res, sent.Load(), err
}

// classify converts an error of the generated client to an error type of this package.
func classify(err error, server string, e callEffect, sent bool) error {
	var refused *oas.ProblemStatusCode
	if errors.As(err, &refused) {
		return &problem{refused.Response}
	}
	var invalid *validate.Error
	if errors.As(err, &invalid) && !sent {
		return &usageError{invalid.Error()}
	}
	return &noAnswerError{server: server, sent: sent, mutating: e == mutating, err: err}
}

// canFailOver reports whether a failed call may be sent to the next server.
func canFailOver(err error, e callEffect, sent bool) bool {
	var p *problem
	var u *usageError
	switch {
	case errors.As(err, &u):
		return false
	case errors.As(err, &p):
		return e == readOnly && slices.Contains([]codes.Code{codes.NotReady, codes.ShuttingDown}, codes.Code(p.Code))
	default:
		return e == readOnly || !sent
	}
}
