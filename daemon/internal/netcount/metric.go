package netcount

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Register exports the byte counts as a metric.
func Register(meter metric.Meter) error {
	counter, err := meter.Int64ObservableCounter("rhubarbstall.network.io",
		metric.WithUnit("By"), metric.WithDescription("Bytes by link and direction, without TCP and IP headers."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for l := range linkCount {
			sent, received := Bytes(l)
			link := attribute.String("link", l.String())
			o.ObserveInt64(counter, sent, metric.WithAttributes(link, attribute.String("network.io.direction", "transmit")))
			o.ObserveInt64(counter, received, metric.WithAttributes(link, attribute.String("network.io.direction", "receive")))
		}
		return nil
	}, counter)
	return err
}
