package settingsync

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/platform"
)

// Config configures a Syncer.
type Config struct {
	// Self is the ID of this entry VM, and Zone its availability zone.
	Self string
	Zone string
	View membership.View
	// Store is the platform's key-value service.
	Store platform.Store
	Peers *peer.Client
	// Server is where New registers the peer methods; it must not be serving yet.
	Server *peer.Server
	// Logger and Meter may be nil.
	Logger *zap.Logger
	Meter  metric.Meter
	// StartupWait is how long a starting entry VM waits for the answers of peers
	// before it relies on the platform alone. The default is 1 s, two heartbeats.
	StartupWait time.Duration
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Meter == nil {
		c.Meter = noop.NewMeterProvider().Meter("settingsync")
	}
	if c.StartupWait <= 0 {
		c.StartupWait = time.Second
	}
	return c
}
