package cellsched

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"rhubarbstall.example/sched/cell"
)

// metrics holds the scheduler's metric instruments, which all terms share.
type metrics struct {
	*loadGauges
	starts, stops, events                                    metric.Int64Counter
	adviceWait, jobDuration, startDuration, decisionDuration metric.Float64Histogram
}

func newMetrics() (*metrics, error) {
	meter := otel.Meter("rhubarbstall/cellsched")
	gauges, err := newLoadGauges()
	if err != nil {
		return nil, err
	}
	m := &metrics{loadGauges: gauges}
	if m.stops, err = meter.Int64Counter("rhubarbstall.cell.stops", metric.WithDescription("Stop orders by outcome")); err != nil {
		return nil, err
	}
	if m.startDuration, err = meter.Float64Histogram("rhubarbstall.cell.start.duration", metric.WithUnit("s"), metric.WithDescription("Time from the decision of a start to the answer")); err != nil {
		return nil, err
	}
	if m.decisionDuration, err = meter.Float64Histogram("rhubarbstall.cell.decision.duration", metric.WithUnit("s"), metric.WithDescription("Duration of a decision, under the scheduler's lock")); err != nil {
		return nil, err
	}
	if m.starts, err = meter.Int64Counter("rhubarbstall.cell.starts", metric.WithDescription("Start orders by outcome")); err != nil {
		return nil, err
	}
	if m.events, err = meter.Int64Counter("rhubarbstall.cell.events", metric.WithDescription("Changes of what the scheduler believes, by kind and detail")); err != nil {
		return nil, err
	}
	if m.adviceWait, err = meter.Float64Histogram("rhubarbstall.cell.advice.wait", metric.WithUnit("s"), metric.WithDescription("Time from the wish for advice to its answer")); err != nil {
		return nil, err
	}
	m.jobDuration, err = meter.Float64Histogram("rhubarbstall.cell.job.duration", metric.WithUnit("s"), metric.WithDescription("Time from learning of a job to its end, by state"))
	return m, err
}

func (m *metrics) countStart(outcome string) {
	m.starts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m *metrics) countStop(outcome string) {
	m.stops.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m *metrics) recordEvent(e cell.Event) {
	kind := attribute.String("kind", string(e.Kind))
	detail := attribute.String("detail", e.Detail)
	m.events.Add(context.Background(), 1, metric.WithAttributes(kind, detail))
	if e.Kind == cell.EventJobFinished {
		m.jobDuration.Record(context.Background(), e.Age.Seconds(), metric.WithAttributes(attribute.String("state", e.Detail)))
	}
}
