package platform

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// Config configures a client.
type Config struct {
	// Addrs are the addresses of the service, URLs or host:port, tried in order from the
	// one that answered last.
	Addrs []string
	// WritesPerSecond and ReadsPerSecond give this entry VM's share of the budget.
	// They are read on each call, so a changed share is in force at once.
	WritesPerSecond func() int
	ReadsPerSecond  func() int
	Logger          *zap.Logger
	Meter           metric.Meter
	Tracer          trace.Tracer
}
