package operatorconfig

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics holds the instruments of a Current. None of them has an attribute that comes from the record.
type metrics struct {
	versions metric.Int64Counter
}

func newMetrics(c *Current) (*metrics, error) {
	meter := otel.Meter("rhubarbstall/operatorconfig")
	if _, err := meter.Int64ObservableGauge("rhubarbstall.cell.config.version",
		metric.WithDescription("Version of the operator's configuration in force"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(c.Version())
			return nil
		})); err != nil {
		return nil, err
	}
	if _, err := meter.Float64ObservableGauge("rhubarbstall.cell.config.age",
		metric.WithUnit("s"), metric.WithDescription("Time since that version was last confirmed as the newest"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if s := c.State(); s.Confirmed {
				o.Observe(s.Age.Seconds())
			}
			return nil
		})); err != nil {
		return nil, err
	}
	versions, err := meter.Int64Counter("rhubarbstall.cell.config.versions", metric.WithDescription("Versions of the operator's configuration put in force, by origin"))
	return &metrics{versions}, err
}

func (m *metrics) countVersion(o Origin) {
	origin := "store"
	if o.VM != "" {
		origin = "vm"
	}
	m.versions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("origin", origin)))
}
