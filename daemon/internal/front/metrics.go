package front

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// requestMetrics records the duration of each client request by method and status, and counts refused API keys.
type requestMetrics struct {
	durations   metric.Float64Histogram
	refusedKeys metric.Int64Counter
}

func newRequestMetrics() (requestMetrics, error) {
	meter := otel.Meter("rhubarbstall/front")
	durations, err := meter.Float64Histogram("rhubarbstall.cell.request.duration",
		metric.WithUnit("s"), metric.WithDescription("Duration of client requests by method and status"))
	if err != nil {
		return requestMetrics{}, err
	}
	refusedKeys, err := meter.Int64Counter("rhubarbstall.cell.keys.refused", metric.WithDescription("Client requests refused for their API key, by reason"))
	return requestMetrics{durations, refusedKeys}, err
}

func (m requestMetrics) record(method string, status int, duration time.Duration) {
	m.durations.Record(context.Background(), duration.Seconds(),
		metric.WithAttributes(attribute.String("method", method), attribute.Int("status", status)))
}

func (m requestMetrics) countRefusedKey(reason keyFailure) {
	m.refusedKeys.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}
