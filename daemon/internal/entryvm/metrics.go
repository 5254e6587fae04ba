package entryvm

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"rhubarbstall.example/daemon/internal/httpapi"
	"rhubarbstall.example/platform"
)

// operatorServer returns the server of the operators' API and the metrics. It listens on the
// second of the ports reserved for this system.
func (v *VM) operatorServer(metrics http.Handler) (*http.Server, error) {
	handler, err := httpapi.NewCellHandler(v.client, v.config.WithoutKeys, v.boot.AvailabilityZone, metrics)
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Addr:    fmt.Sprintf("%s:%d", v.boot.IP, v.boot.MetricsPort),
		Handler: handler, ReadHeaderTimeout: headerTimeout,
	}, nil
}

// storeCallDurations records the duration of each store call by name and outcome.
type storeCallDurations struct {
	histogram metric.Float64Histogram
}

func newStoreCallDurations() (storeCallDurations, error) {
	h, err := otel.Meter("rhubarbstall/store").Float64Histogram("rhubarbstall.cell.store.call.duration",
		metric.WithUnit("s"), metric.WithDescription("Duration of calls to the platform's store by name and outcome"))
	return storeCallDurations{h}, err
}

func (d storeCallDurations) record(c platform.StoreCall, now time.Time) {
	d.histogram.Record(context.Background(), now.Sub(c.Sent).Seconds(),
		metric.WithAttributes(attribute.String("call", c.Name), attribute.Bool("served", c.Served)))
}
