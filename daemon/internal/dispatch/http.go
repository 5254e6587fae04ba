package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"rhubarbstall.example/daemon/internal/netcount"
	wire "rhubarbstall.example/wire/worker"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxReplyBytes bounds a reply: enough for a full state of several thousand tasks.
	maxReplyBytes = 8 << 20
)

// HTTPTransport is a Transport over HTTP and JSON.
type HTTPTransport struct {
	client *http.Client
	tracer trace.Tracer
}

// NewHTTPTransport returns a transport that keeps one idle connection per worker.
func NewHTTPTransport(tracer trace.Tracer) *HTTPTransport {
	return &HTTPTransport{
		tracer: tracer,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         netcount.Dial(netcount.Worker, dialTimeout),
			MaxConnsPerHost:     4,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     30 * time.Second,
			WriteBufferSize:     2048,
			ReadBufferSize:      2048,
		}},
	}
}

// Sync calls POST /v1/sync.
func (t *HTTPTransport) Sync(ctx context.Context, addr string, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	resp := new(wire.SyncResponse)
	return resp, t.post(ctx, addr, wire.PathSync, req, resp)
}

// Start calls POST /v1/tasks.
func (t *HTTPTransport) Start(ctx context.Context, addr string, req *wire.StartRequest) (*wire.StartResponse, error) {
	resp := new(wire.StartResponse)
	return resp, t.post(ctx, addr, wire.PathTasks, req, resp)
}

// Control calls POST /v1/control.
func (t *HTTPTransport) Control(ctx context.Context, addr string, req *wire.ControlRequest) error {
	return t.post(ctx, addr, wire.PathControl, req, nil)
}

// Close closes idle connections.
func (t *HTTPTransport) Close() { t.client.CloseIdleConnections() }

func (t *HTTPTransport) post(ctx context.Context, addr, path string, body, out any) error {
	ctx, span := t.tracer.Start(ctx, "worker "+path, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := t.client.Do(req)
	if err != nil {
		if sent.Load() {
			return fmt.Errorf("%w: %w", ErrNoReply, err)
		}
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		refused := new(RefusedError)
		if err := json.Unmarshal(reply, &refused.Refusal); err != nil {
			return fmt.Errorf("%w: invalid refusal: %w", ErrNoReply, err)
		}
		return refused
	case resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent:
		return fmt.Errorf("%w: status %d", ErrNoReply, resp.StatusCode)
	case out == nil || len(reply) == 0:
		return nil
	}
	if err := json.Unmarshal(reply, out); err != nil {
		return fmt.Errorf("%w: invalid reply: %w", ErrNoReply, err)
	}
	return nil
}
