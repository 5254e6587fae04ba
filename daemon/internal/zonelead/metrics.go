package zonelead

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

const rosterMetric = "rhubarbstall.zonelead.roster.revision"

// observeRoster exports the revision of the cached roster. Without a cached roster,
// this entry VM cannot become the zone scheduler while the platform is unavailable.
func (e *Elector) observeRoster() {
	_, err := otel.Meter("rhubarbstall/zonelead").Int64ObservableGauge(rosterMetric,
		metric.WithDescription("Revision of the roster that this entry VM knows."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if r, ok := e.cachedRoster(); ok {
				o.Observe(int64(r.Revision))
			}
			return nil
		}))
	if err != nil {
		e.cfg.Logger.Warn("[zonelead] could not create metric", zap.String("metric", rosterMetric), zap.Error(err))
	}
}
