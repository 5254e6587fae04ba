package cellsched

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap/zapcore"

	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
)

const (
	// maxAccountLabels bounds the accounts that have a label of their own in the metrics, each with nine series. Those that
	// are closest to their limit have one; the others are summed up as otherAccounts.
	maxAccountLabels = 50
	otherAccounts    = "other"
	// maxLoggedAccounts bounds the accounts in each line of the load log.
	maxLoggedAccounts = 8
)

// amounts logs amounts of resources.
type amounts model.Resources

func (a amounts) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt64("cpu", a.MilliCPU)
	e.AddInt64("memory_mb", a.MemoryMB)
	e.AddInt64("accelerators", a.Accelerators)
	return nil
}

// accountUsages logs what the accounts that are closest to their limits use.
type accountUsages []cell.AccountUsage

func (u accountUsages) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for i := range u[:min(len(u), maxLoggedAccounts)] {
		a := &u[i]
		if a.Used.IsZero() && a.Unseen.IsZero() {
			continue
		}
		err := e.AppendObject(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
			e.AddString("account", a.Name)
			e.AddInt64("cpu", a.Used.MilliCPU)
			e.AddInt64("cpu_unseen", a.Unseen.MilliCPU)
			e.AddInt64("cpu_limit", a.Limit.MilliCPU)
			e.AddInt64("memory_mb", a.Used.MemoryMB)
			e.AddInt64("memory_mb_unseen", a.Unseen.MemoryMB)
			e.AddInt64("memory_mb_limit", a.Limit.MemoryMB)
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

// boundedAccounts returns at most maxAccountLabels usages and the sum of the others, if there are more.
func boundedAccounts(usages []cell.AccountUsage) []cell.AccountUsage {
	if len(usages) <= maxAccountLabels {
		return usages
	}
	out := append([]cell.AccountUsage(nil), usages[:maxAccountLabels]...)
	rest := cell.AccountUsage{Name: otherAccounts}
	for _, u := range usages[maxAccountLabels:] {
		rest.Used, rest.Unseen, rest.Limit = rest.Used.Add(u.Used), rest.Unseen.Add(u.Unseen), rest.Limit.Add(u.Limit)
	}
	return append(out, rest)
}

// observeAccounts observes what the client accounts use of their limits.
func observeAccounts(o metric.Observer, gauge metric.Int64Observable, usages []cell.AccountUsage) {
	for _, u := range boundedAccounts(usages) {
		for _, state := range [...]struct {
			name   string
			amount model.Resources
		}{{"used", u.Used}, {"unseen", u.Unseen}, {"limit", u.Limit}} {
			for _, x := range [...]struct {
				resource string
				amount   int64
			}{{"cpu", state.amount.MilliCPU}, {"memory_mb", state.amount.MemoryMB}, {"accelerators", state.amount.Accelerators}} {
				o.ObserveInt64(gauge, x.amount, metric.WithAttributes(attribute.String("account", u.Name), attribute.String("resource", x.resource), attribute.String("state", state.name)))
			}
		}
	}
}
