package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	wire "rhubarbstall.example/wire/runner"
)

// maxAnswerBytes bounds the memory for the body of one answer.
const maxAnswerBytes = 16 << 20

// onceBody hides the concrete type of the body from net/http. For a
// *bytes.Reader, net/http sets GetBody and then resends a request on its own if
// a reused connection turns out to be closed.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// connTrace records the connections of a request, with the number of writes on
// each before the request.
type connTrace struct {
	mu    sync.Mutex
	conns map[*guardedConn]int64
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*guardedConn); ok {
		t.mu.Lock()
		t.conns[c] = c.writeCount()
		t.mu.Unlock()
	}
}

// mayHaveSent reports whether any byte may have been sent. If it returns false,
// it has also blocked all later writes.
func (t *connTrace) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for c, writesBefore := range t.conns {
		sent = c.blockWritesIfUnused(writesBefore) || sent
	}
	return sent
}

// exchange sends a request to a runner once and validates the answer. A
// no-repeat request uses a new connection, because a reused one may turn out to
// be closed after the bytes were sent.
func (u *upstream) exchange(ctx context.Context, c *call) result {
	deadline, _ := ctx.Deadline()
	trace := &connTrace{conns: map[*guardedConn]int64{}}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.addr+wire.PathRun, nil)
	if err != nil {
		return result{err: fmt.Errorf("runner address %q: %w", u.addr, err)}
	}
	req.Body = onceBody{bytes.NewReader(c.body)}
	req.ContentLength = int64(len(c.body))
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(wire.HeaderRequestID, c.id)
	req.Header.Set(wire.HeaderKind, c.class.Kind)
	req.Header.Set(wire.HeaderDeadlineMillis, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	transport := u.keepAliveTransport
	if c.noRepeat {
		transport = u.singleUseTransport
		if u.pool.full() {
			// Idle connections count against the limit, so close them to make room.
			u.keepAliveTransport.CloseIdleConnections()
		}
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		sent := trace.mayHaveSent()
		return result{
			evidence:      evidence{mayHaveSent: sent},
			err:           fmt.Errorf("runner %s: %w", u.id, err),
			mayStillRun:   sent,
			connectFailed: dialFailed(err),
		}
	}
	defer resp.Body.Close()
	res := readAnswer(resp, c.id)
	if res.err != nil {
		res.err = fmt.Errorf("runner %s: %w", u.id, res.err)
	}
	res.mayHaveSent = true
	res.runnerLeaving = resp.Header.Get(wire.HeaderState) == wire.StateLeaving
	res.answer.Upstream, res.answer.Zone = u.id, u.zone
	return res
}

// dialFailed reports whether no connection could be made for a reason on the
// runner's side. A refused connection proves that no process listens there.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !errors.Is(err, context.Canceled)
}

// readAnswer accepts an answer only if its length, its digest and its request ID
// match.
func readAnswer(resp *http.Response, id string) result {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(wire.HeaderNotRun) == "true" {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
		return result{evidence: evidence{reportedNotRun: true}, err: errors.New("reported that it did not run the request")}
	}
	if resp.StatusCode != http.StatusOK {
		return result{err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	if got := resp.Header.Get(wire.HeaderRequestID); got != id {
		return result{err: fmt.Errorf("answer belongs to request %q", got)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return result{err: fmt.Errorf("answer truncated after %d bytes: %w", len(body), err)}
	}
	if len(body) > maxAnswerBytes {
		return result{err: fmt.Errorf("answer is larger than %d bytes", maxAnswerBytes)}
	}
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return result{err: fmt.Errorf("answer has %d of %d bytes", len(body), resp.ContentLength)}
	}
	sum := sha256.Sum256(body)
	if resp.Header.Get(wire.HeaderDigest) != hex.EncodeToString(sum[:]) {
		return result{err: errors.New("digest of the answer does not match")}
	}
	return result{evidence: evidence{validAnswer: true}, answer: Answer{RequestID: id, Body: body}}
}
