package once

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
)

type metrics struct {
	claims  metric.Int64Counter
	retries metric.Int64Counter
}

func newMetrics(meter metric.Meter, r *Registry) *metrics {
	m := &metrics{}
	var errs [3]error
	m.claims, errs[0] = meter.Int64Counter("rhubarbstall.once.claims",
		metric.WithDescription("Submissions by result code; code 0 is a claim or a recorded answer."))
	m.retries, errs[1] = meter.Int64Counter("rhubarbstall.once.outcome_retries",
		metric.WithDescription("Failed writes of outcomes, which are tried again."))
	_, errs[2] = meter.Int64ObservableGauge("rhubarbstall.once.live",
		metric.WithDescription("Claims of this entry VM whose outcome is not stored."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			o.Observe(int64(len(r.live)))
			return nil
		}))
	for _, err := range errs {
		if err != nil {
			r.log.Warn("[once] cannot create a metric", zap.Error(err))
		}
	}
	return m
}

// countClaim counts the end of a submission by the result code of err.
func (m *metrics) countClaim(ctx context.Context, err error) {
	m.claims.Add(ctx, 1, metric.WithAttributes(attribute.Int("code", int(codes.Of(err)))))
}

func (m *metrics) countOutcomeRetry() { m.retries.Add(context.Background(), 1) }
