package platform

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// Config configures a client.
type Config struct {
	// Addrs are the addresses of the service, URLs or host:port. Calls try them in
	// order, starting with the one that answered last.
	Addrs []string
	// WritesPerSecond and ReadsPerSecond return this entry VM's share of the call
	// budget. Each call evaluates them, so that a changed share takes effect at once.
	WritesPerSecond func() int
	ReadsPerSecond  func() int
	Logger          *zap.Logger
	Meter           metric.Meter
	Tracer          trace.Tracer
}
