package front

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// requestTimes records the duration of each client request by method and status.
type requestTimes struct {
	histogram metric.Float64Histogram
}

func newRequestTimes() (requestTimes, error) {
	h, err := otel.Meter("rhubarbstall/front").Float64Histogram("rhubarbstall.cell.request.duration",
		metric.WithUnit("s"), metric.WithDescription("Duration of client requests by method and status"))
	return requestTimes{h}, err
}

func (t requestTimes) record(method string, status int, took time.Duration) {
	t.histogram.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("method", method), attribute.Int("status", status)))
}
