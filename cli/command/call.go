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

// effect tells whether a call changes something.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// firstTryTime bounds a call that only reads while there are further servers, so
// that one that hangs does not use up the operator's patience.
const firstTryTime = 5 * time.Second

// call sends a call to the servers in turn. The next server is tried only if the
// call provably was not sent, or if it only reads and the server could not answer it.
func call[T any](ctx context.Context, a *app, e effect, do func(context.Context, *oas.Client) (T, error)) (T, error) {
	var zero T
	var last error
	for i, server := range a.servers {
		timeout := a.timeout
		if e == reads && i < len(a.servers)-1 {
			timeout = min(timeout, firstTryTime)
		}
		res, sent, err := callOne(ctx, timeout, server, do)
		if err == nil {
			return res, nil
		}
		last = classify(err, server, e, sent)
		if ctx.Err() != nil || !mayTryNext(last, e, sent) {
			return zero, last
		}
	}
	return zero, last
}

func callOne[T any](ctx context.Context, timeout time.Duration, server string, do func(context.Context, *oas.Client) (T, error)) (T, bool, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	// A call counts as sent from the moment it has a connection.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	client, err := oas.NewClient(server, oas.WithClient(&http.Client{
		Transport: transport,
		// A redirect would send a call that writes to a second server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}))
	if err != nil {
		return zero, false, err
	}
	res, err := do(ctx, client)
	return res, sent.Load(), err
}

// classify turns an error of the generated client into one of this package.
func classify(err error, server string, e effect, sent bool) error {
	var refused *oas.ProblemStatusCode
	if errors.As(err, &refused) {
		return &problem{refused.Response}
	}
	var invalid *validate.Error
	if errors.As(err, &invalid) && !sent {
		return &mistake{invalid.Error()}
	}
	return &noAnswer{server: server, sent: sent, writes: e == writes, err: err}
}

func mayTryNext(err error, e effect, sent bool) bool {
	var p *problem
	var m *mistake
	switch {
	case errors.As(err, &m):
		return false
	case errors.As(err, &p):
		return e == reads && slices.Contains([]codes.Code{codes.NotReady, codes.ShuttingDown}, codes.Code(p.Code))
	default:
		return e == reads || !sent
	}
}
