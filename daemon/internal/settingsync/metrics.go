package settingsync

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments holds the metrics of a Syncer.
type instruments struct {
	adopted metric.Int64Counter
	refused metric.Int64Counter
	errors  metric.Int64Counter
}

func newInstruments(m metric.Meter, s *Syncer) (*instruments, error) {
	var in instruments
	var err error
	if in.adopted, err = m.Int64Counter("rhubarbstall.settings.adopted",
		metric.WithDescription("Revisions taken into force, by origin.")); err != nil {
		return nil, err
	}
	if in.refused, err = m.Int64Counter("rhubarbstall.settings.refused",
		metric.WithDescription("Records kept out, by reason.")); err != nil {
		return nil, err
	}
	if in.errors, err = m.Int64Counter("rhubarbstall.settings.errors",
		metric.WithDescription("Failed platform and peer calls, by call.")); err != nil {
		return nil, err
	}
	_, err = m.Int64ObservableGauge("rhubarbstall.settings.revision",
		metric.WithDescription("Settings revision in force."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if _, revision, ok := s.Current(); ok {
				o.Observe(int64(revision))
			}
			return nil
		}))
	return &in, err
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
