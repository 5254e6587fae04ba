package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"rhubarbstall.example/daemon/internal/netcount"
)

// ErrNotSent means that no byte of the call left this process.
var ErrNotSent = errors.New("peer call not sent")

// ErrNoReply means that the call was sent and no complete reply arrived.
var ErrNoReply = errors.New("no reply to peer call")

const (
	dialTimeout = 500 * time.Millisecond
	// defaultCallTimeout applies to a context without a deadline.
	defaultCallTimeout = 2 * time.Second
	// maxCallsPerPeer limits the calls in progress to one peer, so that an unresponsive
	// peer blocks a limited number of goroutines. Further calls wait.
	maxCallsPerPeer = 1024
)

var dial = netcount.Dial(netcount.Peer, dialTimeout)

// Client calls other entry VMs. It keeps one connection per address and is safe for
// concurrent use.
type Client struct {
	self   string
	tracer trace.Tracer
	mu     sync.Mutex
	conns  map[string]*conn
}

// NewClient returns a client of the entry VM with the ID self.
func NewClient(self string) *Client {
	return &Client{self: self, tracer: otel.Tracer("rhubarbstall/peer"), conns: make(map[string]*conn)}
}

// Call calls a method of the entry VM at addr. ErrNotSent and ErrNoReply mean that the
// transport failed; after ErrNoReply the method may have run. Any other error has a code and
// comes from the method, or from the server if it has too many calls (TooManyRequests), does not
// know the method (NotFound) or cannot decode the arguments (MalformedBody).
func Call[A, R any](ctx context.Context, c *Client, addr, method string, args *A) (*R, error) {
	body, err := json.Marshal(args)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	ctx, span := c.tracer.Start(ctx, "call "+method,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer.addr", addr)))
	defer span.End()
	resp, err := c.roundTrip(ctx, addr, method, body)
	if err != nil {
		span.RecordError(err)
		return nil, err
	}
	if err := resp.Status.err(); err != nil {
		return nil, err
	}
	reply := new(R)
	if err := json.Unmarshal(resp.Body, reply); err != nil {
		return nil, fmt.Errorf("%w: cannot decode the reply: %w", ErrNoReply, err)
	}
	return reply, nil
}

func (c *Client) roundTrip(ctx context.Context, addr, method string, body []byte) (*Response, error) {
	cn := c.conn(addr)
	select {
	case cn.slots <- struct{}{}:
		defer func() { <-cn.slots }()
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	client, err := cn.get(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	deadline, _ := ctx.Deadline()
	req := &Request{
		Method:        method,
		From:          c.self,
		TimeoutMillis: max(1, time.Until(deadline).Milliseconds()),
		Trace:         map[string]string{},
		Body:          body,
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.MapCarrier(req.Trace))
	resp := new(Response)
	// client.Go writes to the connection and may block on a full socket buffer, so it runs in
	// its own goroutine while this one waits for the deadline.
	done := make(chan *rpc.Call, 1)
	go client.Go(serviceName+".Call", req, resp, done)
	select {
	case call := <-done:
		if call.Error != nil {
			cn.closeClient(client)
			return nil, fmt.Errorf("%w: %w", ErrNoReply, call.Error)
		}
		cn.lastReplyNanos.Store(time.Now().UnixNano())
		return resp, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoReply, ctx.Err())
	}
}

// Reset closes the connection to addr; the next call dials again.
func (c *Client) Reset(addr string) {
	cn := c.conn(addr)
	cn.mu.Lock()
	client := cn.client
	cn.mu.Unlock()
	if client != nil {
		cn.closeClient(client)
	}
}

// CloseIfSilent closes the connection to addr if no reply has arrived on it for the given
// duration, because the connection may be dead. Otherwise it stays open for calls that are
// merely slow.
func (c *Client) CloseIfSilent(addr string, duration time.Duration) {
	cn := c.conn(addr)
	cn.mu.Lock()
	client := cn.client
	cn.mu.Unlock()
	if client != nil && time.Since(time.Unix(0, cn.lastReplyNanos.Load())) > duration {
		cn.closeClient(client)
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	addrs := make([]string, 0, len(c.conns))
	for addr := range c.conns {
		addrs = append(addrs, addr)
	}
	c.mu.Unlock()
	for _, addr := range addrs {
		c.Reset(addr)
	}
}

func (c *Client) conn(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn, ok := c.conns[addr]
	if !ok {
		cn = &conn{addr: addr, slots: make(chan struct{}, maxCallsPerPeer)}
		c.conns[addr] = cn
	}
	return cn
}

// conn is the connection to one address.
type conn struct {
	addr string
	// slots limits the calls in progress.
	slots  chan struct{}
	mu     sync.Mutex
	client *rpc.Client
	// lastReplyNanos is the time of the last reply, or of the connection's opening if there
	// was none, in Unix nanoseconds.
	lastReplyNanos atomic.Int64
}

// get returns the open connection, or opens one.
func (cn *conn) get(ctx context.Context) (*rpc.Client, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.client != nil {
		return cn.client, nil
	}
	nc, err := dial(ctx, "tcp", cn.addr)
	if err != nil {
		return nil, err
	}
	cn.client = rpc.NewClient(nc)
	cn.lastReplyNanos.Store(time.Now().UnixNano())
	return cn.client, nil
}

// closeClient closes client; the next call opens a new connection.
func (cn *conn) closeClient(client *rpc.Client) {
	cn.mu.Lock()
	if cn.client == client {
		cn.client = nil
	}
	cn.mu.Unlock()
	_ = client.Close()
}
