package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
)

const (
	readAttempts = 3
	minBackoff   = 50 * time.Millisecond
	// maxResponseBytes bounds a response: a page of a list holds at most
	// listPageEntries values, and a value in base64 is a third longer.
	maxResponseBytes = 64 << 20
)

// call describes one call to the service.
type call struct {
	// op is the name of the call in metrics and spans.
	op     string
	method string
	// target is the path with the query.
	target string
	body   any
	write  bool
	// skipBudgetWait lets the call take its token from the budget without waiting.
	skipBudgetWait bool
	timeout        time.Duration
}

// do makes a call and decodes the response into out if it is not nil. It makes up to
// readAttempts attempts of a read, and one attempt of a write for each address. A write
// that may have been sent is not attempted again.
func (c *Client) do(ctx context.Context, cl call, out any) (err error) {
	if cl.timeout == 0 {
		cl.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, "platform "+cl.op, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	start := time.Now()
	defer func() {
		attrs := metric.WithAttributes(attribute.String("operation", cl.op), attribute.String("result", resultLabel(err)))
		c.calls.Add(ctx, 1, attrs)
		c.duration.Record(ctx, time.Since(start).Seconds(), attrs)
		if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
			span.RecordError(err)
		}
	}()
	var body []byte
	if cl.body != nil {
		if body, err = json.Marshal(cl.body); err != nil {
			return err
		}
	}
	slots := c.callSlots
	if cl.op == "watch" {
		slots = c.watchSlots
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return fmt.Errorf("%w: too many calls in progress", ErrBudgetExceeded)
	}
	budget, attempts := c.readBudget, readAttempts
	if cl.write {
		budget, attempts = c.writeBudget, len(c.addrs)
	}
	err = ErrUnavailable
	for i := range attempts {
		if i > 0 && !waitBackoff(ctx, i) {
			return err
		}
		if berr := budget.acquire(ctx, cl.skipBudgetWait); berr != nil {
			return berr
		}
		n := c.preferredAddr.Load()
		var sent bool
		sent, err = c.attempt(ctx, cl, c.addrs[int(n)%len(c.addrs)], body, out)
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrAmbiguous) {
			return err
		}
		c.preferredAddr.CompareAndSwap(n, n+1)
		if cl.write && sent {
			return err
		}
	}
	return err
}

// attempt sends a call to one address. It reports whether the call may have been sent.
func (c *Client) attempt(ctx context.Context, cl call, addr string, body []byte, out any) (bool, error) {
	if !cl.write && cl.op != "watch" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, cl.method, addr+cl.target, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.setReachable(false)
		return sent.Load(), c.transportError(cl, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		c.setReachable(false)
		return true, c.transportError(cl, true, err)
	}
	c.setReachable(resp.StatusCode < http.StatusInternalServerError)
	return true, decodeResponse(cl, resp.StatusCode, data, out)
}

// transportError returns the error of a call without a response: ErrAmbiguous for a
// write that may have been sent, else ErrUnavailable.
func (c *Client) transportError(cl call, sent bool, err error) error {
	if cl.write && sent {
		return fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func decodeResponse(cl call, status int, data []byte, out any) error {
	switch {
	case status >= 200 && status < 300:
		if out == nil || len(data) == 0 {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			if cl.write {
				return fmt.Errorf("%w: invalid response: %w", ErrAmbiguous, err)
			}
			return fmt.Errorf("%w: invalid response: %w", ErrUnavailable, err)
		}
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		return ErrBudgetExceeded
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status >= 500 && cl.write:
		return fmt.Errorf("%w: status %d", ErrAmbiguous, status)
	case status >= 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return fmt.Errorf("platform refused %s with status %d: %.200s", cl.op, status, data)
	}
}

// waitBackoff waits with exponential backoff and jitter. It returns false if the
// context ends.
func waitBackoff(ctx context.Context, attempt int) bool {
	d := minBackoff << (attempt - 1)
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func resultLabel(err error) string {
	for _, e := range []struct {
		err  error
		name string
	}{
		{ErrConflict, "conflict"},
		{ErrNotFound, "not_found"},
		{ErrBudgetExceeded, "budget"},
		{ErrAmbiguous, "ambiguous"},
		{ErrUnavailable, "unavailable"},
		{ErrTooLarge, "too_large"},
	} {
		if errors.Is(err, e.err) {
			return e.name
		}
	}
	if err != nil {
		return "error"
	}
	return "ok"
}
