package platform

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	metricnoop "go.opentelemetry.io/otel/metric/noop"
	"go.opentelemetry.io/otel/trace"
	tracenoop "go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/netcount"
)

const (
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// attemptTimeout bounds one attempt of a read, so that time remains for another
	// address if the first does not respond.
	attemptTimeout = 800 * time.Millisecond
	dialTimeout    = 400 * time.Millisecond
	// maxInFlight bounds the calls in progress except watches, and maxWatches the watches.
	maxInFlight = 256
	maxWatches  = 64
	// maxConnsPerAddr bounds the connections to one address.
	maxConnsPerAddr = 64
)

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	addrs         []string
	preferredAddr atomic.Uint32
	reachable     atomic.Bool
	writeBudget   *callBudget
	readBudget    *callBudget
	callSlots     chan struct{}
	watchSlots    chan struct{}
	http          *http.Client
	log           *zap.Logger
	tracer        trace.Tracer
	calls         metric.Int64Counter
	duration      metric.Float64Histogram
}

var _ Store = (*Client)(nil)

// New returns a client. It sends nothing until the first call.
func New(cfg Config) *Client {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Meter == nil {
		cfg.Meter = metricnoop.NewMeterProvider().Meter("platform")
	}
	if cfg.Tracer == nil {
		cfg.Tracer = tracenoop.NewTracerProvider().Tracer("platform")
	}
	c := &Client{
		addrs:       baseURLs(cfg.Addrs),
		writeBudget: newCallBudget(cfg.WritesPerSecond),
		readBudget:  newCallBudget(cfg.ReadsPerSecond),
		callSlots:   make(chan struct{}, maxInFlight),
		watchSlots:  make(chan struct{}, maxWatches),
		log:         cfg.Logger,
		tracer:      cfg.Tracer,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         netcount.Dial(netcount.Platform, dialTimeout),
			MaxConnsPerHost:     maxConnsPerAddr + maxWatches,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
	c.calls, _ = cfg.Meter.Int64Counter("rhubarbstall.platform.calls",
		metric.WithDescription("Calls to the platform by type and result."))
	c.duration, _ = cfg.Meter.Float64Histogram("rhubarbstall.platform.call.duration",
		metric.WithUnit("s"), metric.WithDescription("Duration of calls to the platform."))
	return c
}

// Reachable reports whether the platform answered the last call without a server error.
func (c *Client) Reachable() bool { return c.reachable.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) setReachable(ok bool) {
	if c.reachable.Swap(ok) != ok {
		c.log.Info("[platform] reachability changed", zap.Bool("reachable", ok))
	}
}
