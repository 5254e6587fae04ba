package router

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
)

// metrics holds the instruments of the request path.
type metrics struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	refusals metric.Int64Counter
	waits    metric.Float64Histogram
}

func newMetrics(meter metric.Meter, r *Router) *metrics {
	m := &metrics{}
	var errs [6]error
	m.requests, errs[0] = meter.Int64Counter("rhubarbstall.router.requests",
		metric.WithDescription("Requests by kind and result code; code 0 is an answer."))
	m.attempts, errs[1] = meter.Int64Counter("rhubarbstall.router.attempts",
		metric.WithDescription("Attempts by kind, target and outcome."))
	m.refusals, errs[2] = meter.Int64Counter("rhubarbstall.router.refusals",
		metric.WithDescription("Requests refused by admission, by kind."))
	m.waits, errs[3] = meter.Float64Histogram("rhubarbstall.router.wait",
		metric.WithUnit("s"), metric.WithDescription("Time from arrival to dispatch of answered requests, by kind."))
	_, errs[4] = meter.Int64ObservableGauge("rhubarbstall.router.queued",
		metric.WithDescription("Requests that wait for a slot."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(r.QueuedRequests()))
			return nil
		}))
	_, errs[5] = meter.Int64ObservableGauge("rhubarbstall.router.free_slots",
		metric.WithDescription("Free runner slots of this entry VM."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(r.FreeSlots()))
			return nil
		}))
	for _, err := range errs {
		if err != nil {
			r.log.Warn("[router] cannot create a metric", zap.Error(err))
		}
	}
	return m
}

func kindAttr(kind string) attribute.KeyValue { return attribute.String("kind", kind) }

// recordRequest counts the end of a request. It omits a kind that is unknown or was
// not looked up: its name comes from the caller, so the number of time series would
// be unbounded.
func (m *metrics) recordRequest(ctx context.Context, kind string, err error) {
	code := codes.Of(err)
	if code == codes.UnknownKind || code == codes.UnknownDepartment || code == codes.NotReady || code == codes.ShuttingDown {
		kind = ""
	}
	m.requests.Add(ctx, 1, metric.WithAttributes(kindAttr(kind), attribute.Int("code", int(code))))
}

func (m *metrics) recordAttempt(ctx context.Context, kind string, g grant, o Outcome) {
	target := "runner"
	if g.peer != nil {
		target = "entry_vm"
	}
	m.attempts.Add(ctx, 1, metric.WithAttributes(kindAttr(kind),
		attribute.String("target", target), attribute.String("outcome", o.String())))
}

func (m *metrics) recordRefusal(ctx context.Context, kind string) {
	m.refusals.Add(ctx, 1, metric.WithAttributes(kindAttr(kind)))
}

func (m *metrics) recordWait(ctx context.Context, kind string, d time.Duration) {
	m.waits.Record(ctx, d.Seconds(), metric.WithAttributes(kindAttr(kind)))
}
