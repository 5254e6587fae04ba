package dispatch

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of a Dispatcher.
type metrics struct {
	syncs     metric.Int64Counter
	starts    metric.Int64Counter
	refusals  metric.Int64Counter
	outcomes  metric.Int64Counter
	losses    metric.Int64Counter
	orphans   metric.Int64Counter
	controls  metric.Int64Counter
	decisions metric.Float64Histogram
	waits     metric.Float64Histogram
}

func newMetrics(m metric.Meter) *metrics {
	out := &metrics{}
	out.syncs, _ = m.Int64Counter("rhubarbstall.dispatch.syncs", metric.WithDescription("Syncs with workers by result."))
	out.starts, _ = m.Int64Counter("rhubarbstall.dispatch.starts", metric.WithDescription("Decided task starts."))
	out.refusals, _ = m.Int64Counter("rhubarbstall.dispatch.refusals", metric.WithDescription("Starts that a worker refused by reason."))
	out.outcomes, _ = m.Int64Counter("rhubarbstall.dispatch.outcomes", metric.WithDescription("Ended attempts by result."))
	out.losses, _ = m.Int64Counter("rhubarbstall.dispatch.lost_attempts", metric.WithDescription("Attempts that ended without an outcome."))
	out.orphans, _ = m.Int64Counter("rhubarbstall.dispatch.unneeded_tasks", metric.WithDescription("Running tasks that no job needs."))
	out.controls, _ = m.Int64Counter("rhubarbstall.dispatch.controls", metric.WithDescription("Actions on running tasks by result of the call."))
	out.decisions, _ = m.Float64Histogram("rhubarbstall.dispatch.round.duration", metric.WithUnit("s"), metric.WithDescription("Duration of a decision round."))
	out.waits, _ = m.Float64Histogram("rhubarbstall.dispatch.wait", metric.WithUnit("s"), metric.WithDescription("Time from submission, or the end of the attempt before, to the confirmed start, by kind."))
	return out
}

func (m *metrics) waited(kind string, d time.Duration) {
	m.waits.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *metrics) sync(ctx context.Context, err error) {
	m.syncs.Add(ctx, 1, metric.WithAttributes(attribute.String("result", resultName(err))))
}

func (m *metrics) control(ctx context.Context, n int, err error) {
	m.controls.Add(ctx, int64(n), metric.WithAttributes(attribute.String("result", resultName(err))))
}

func (m *metrics) round(ctx context.Context, d time.Duration, starts int) {
	m.decisions.Record(ctx, d.Seconds())
	m.starts.Add(ctx, int64(starts))
}

func (m *metrics) outcome(result string) {
	m.outcomes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *metrics) refused(reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

func (m *metrics) lost()   { m.losses.Add(context.Background(), 1) }
func (m *metrics) orphan() { m.orphans.Add(context.Background(), 1) }

func resultName(err error) string {
	var refused *RefusedError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &refused):
		return string(refused.Code)
	case errors.Is(err, ErrNotSent):
		return "not_sent"
	}
	return "no_reply"
}
