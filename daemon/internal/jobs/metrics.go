package jobs

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of the package.
type metrics struct {
	writes     metric.Int64Counter
	writeBytes metric.Int64Counter
	writeTime  metric.Float64Histogram
	submitted  metric.Int64Counter
	cancelled  metric.Int64Counter
	recovery   metric.Float64Histogram
}

func newMetrics(m metric.Meter) *metrics {
	out := &metrics{}
	out.writes, _ = m.Int64Counter("rhubarbstall.jobs.segment.writes", metric.WithDescription("Writes of segments by result."))
	out.writeBytes, _ = m.Int64Counter("rhubarbstall.jobs.segment.written", metric.WithUnit("By"), metric.WithDescription("Bytes of written segments."))
	out.writeTime, _ = m.Float64Histogram("rhubarbstall.jobs.segment.write.duration", metric.WithUnit("s"), metric.WithDescription("Duration of a segment write with its settlement."))
	out.submitted, _ = m.Int64Counter("rhubarbstall.jobs.submitted", metric.WithDescription("Submissions by result."))
	out.cancelled, _ = m.Int64Counter("rhubarbstall.jobs.cancelled", metric.WithDescription("Cancellations by result."))
	out.recovery, _ = m.Float64Histogram("rhubarbstall.jobs.recovery.duration", metric.WithUnit("s"), metric.WithDescription("Time from the quorum to the end of the recovery."))
	return out
}

func (m *metrics) write(ctx context.Context, size int, d time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.writes.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result)))
	m.writeBytes.Add(ctx, int64(size))
	m.writeTime.Record(ctx, d.Seconds())
}

func countResult(ctx context.Context, c metric.Int64Counter, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	c.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result)))
}
