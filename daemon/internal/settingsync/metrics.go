package settingsync

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

// instruments holds the metrics of a Syncer.
type instruments struct {
	adopted metric.Int64Counter
	refused metric.Int64Counter
	errors  metric.Int64Counter
}

// newInstruments creates the metrics. A counter that the meter cannot create is logged
// and replaced by one that does nothing.
func newInstruments(m metric.Meter, s *Syncer) *instruments {
	var fallback noop.Int64Counter
	counter := func(name, description string) metric.Int64Counter {
		c, err := m.Int64Counter(name, metric.WithDescription(description))
		if err != nil {
			s.log.Warn("[settings] could not create metric", zap.String("metric", name), zap.Error(err))
			return fallback
		}
		return c
	}
	_, err := m.Int64ObservableGauge("rhubarbstall.settings.revision",
		metric.WithDescription("Settings revision in force."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if _, revision, ok := s.Current(); ok {
				o.Observe(int64(revision))
			}
			return nil
		}))
	if err != nil {
		s.log.Warn("[settings] could not create metric", zap.String("metric", "rhubarbstall.settings.revision"), zap.Error(err))
	}
	return &instruments{
		adopted: counter("rhubarbstall.settings.adopted", "Revisions taken into force, by origin."),
		refused: counter("rhubarbstall.settings.refused", "Records kept out, by reason."),
		errors:  counter("rhubarbstall.settings.errors", "Failed platform and peer calls, by call."),
	}
}

func (in *instruments) countAdopted(o origin) {
	in.adopted.Add(context.Background(), 1, metric.WithAttributes(attribute.String("origin", string(o))))
}

func (in *instruments) countRefused(reason string) {
	in.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

func (in *instruments) countError(call string) {
	in.errors.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call)))
}
