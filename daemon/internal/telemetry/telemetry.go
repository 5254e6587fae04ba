// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/config"
)

// Telemetry holds the logger and the metrics and trace providers of a process.
type Telemetry struct {
	Logger *zap.Logger
	// Metrics serves the Prometheus text format.
	Metrics  http.Handler
	shutdown []func(context.Context) error
}

// Setup installs the global meter and tracer providers. Close flushes them.
func Setup(cfg *config.Config) (*Telemetry, error) {
	logger, err := newLogger(cfg.Log)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{Logger: logger}
	res := newResource(cfg.ID, cfg.AvailabilityZone)
	if err := t.setupMetrics(res); err != nil {
		return nil, err
	}
	if err := t.setupTraces(cfg.Trace, res); err != nil {
		return nil, err
	}
	return t, nil
}

// SetupMetrics installs only the global meter provider of an entry VM, without logs and traces,
// and returns the handler that serves the Prometheus text format.
func SetupMetrics(id, zone string) (http.Handler, error) {
	t := &Telemetry{}
	if err := t.setupMetrics(newResource(id, zone)); err != nil {
		return nil, err
	}
	return t.Metrics, nil
}

func newResource(id, zone string) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "rhubarbstalld"),
		attribute.String("service.instance.id", id),
		attribute.String("cloud.availability_zone", zone),
	)
}

// Close flushes and shuts down the providers.
func (t *Telemetry) Close(ctx context.Context) error {
	var errs []error
	for _, f := range t.shutdown {
		errs = append(errs, f(ctx))
	}
	_ = t.Logger.Sync()
	return errors.Join(errs...)
}

func newLogger(cfg config.Log) (*zap.Logger, error) {
	zc := zap.NewProductionConfig()
	if cfg.Format == "console" {
		zc = zap.NewDevelopmentConfig()
	}
	level, err := zap.ParseAtomicLevel(cfg.Level)
	if err != nil {
		return nil, err
	}
	zc.Level = level
	zc.DisableStacktrace = true
	zc.DisableCaller = true
	return zc.Build()
}

func (t *Telemetry) setupMetrics(res *resource.Resource) error {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo())
	if err != nil {
		return err
	}
	provider := metric.NewMeterProvider(metric.WithReader(exporter), metric.WithResource(res), metric.WithView(durationView()))
	otel.SetMeterProvider(provider)
	t.Metrics = promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	t.shutdown = append(t.shutdown, provider.Shutdown)
	return nil
}

// durationView defines histogram buckets from 100 us to 60 s for durations in seconds. The
// default buckets are meant for milliseconds and would put all durations into one.
func durationView() metric.View {
	return metric.NewView(
		metric.Instrument{Kind: metric.InstrumentKindHistogram, Unit: "s"},
		metric.Stream{Aggregation: metric.AggregationExplicitBucketHistogram{
			Boundaries: []float64{0.0001, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.1, 5, 10, 60},
			NoMinMax:   true,
		}},
	)
}

func (t *Telemetry) setupTraces(cfg config.Trace, res *resource.Resource) error {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if cfg.File == "" {
		return nil
	}
	f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(io.Writer(f)))
	if err != nil {
		return err
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(res),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(cfg.Sample))),
	)
	otel.SetTracerProvider(provider)
	t.shutdown = append(t.shutdown, provider.Shutdown, func(context.Context) error { return f.Close() })
	return nil
}
