package cellsched

import (
	"context"
	"strconv"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// loadGauges are the metrics of the scheduler's backlog and load at its last report. Only the
// VM that runs the scheduler has them.
type loadGauges struct {
	meter                                                   metric.Meter
	jobs, tasks, groups, orders, window, runs               metric.Int64ObservableGauge
	advice, states, runners, relays, accounts, interference metric.Int64ObservableGauge
	reports, ends, relayBatches, relayCalls                 metric.Int64ObservableCounter
	adviceAge, stateAge, reportAge, runQueue, cores, lock   metric.Float64ObservableGauge
	accountShare, accountWeight, accountExcess              metric.Float64ObservableGauge
	accountWaiting                                          metric.Int64ObservableGauge
}

func newLoadGauges() (*loadGauges, error) {
	g := &loadGauges{meter: otel.Meter("rhubarbstall/cellsched")}
	for _, x := range []struct {
		to                *metric.Int64ObservableGauge
		name, description string
	}{
		{&g.jobs, "rhubarbstall.cell.jobs", "Jobs that the scheduler knows, by state"},
		{&g.tasks, "rhubarbstall.cell.waiting.tasks", "Tasks that wait for their start, by priority"},
		{&g.groups, "rhubarbstall.cell.waiting.groups", "Steps with tasks that wait for their start, by reason"},
		{&g.orders, "rhubarbstall.cell.orders.in_flight", "Orders to runners without an answer yet, by kind"},
		{&g.window, "rhubarbstall.cell.orders.window", "Bytes of orders that may be without an answer, and that are"},
		{&g.runs, "rhubarbstall.cell.runs", "Runs that take room on runners, by what is known of them"},
		{&g.advice, "rhubarbstall.cell.advice.calls", "Calls to the advisor that wait for a VM or are under way"},
		{&g.states, "rhubarbstall.cell.states.dirty", "Changed states of jobs that wait for a write"},
		{&g.runners, "rhubarbstall.cell.runners", "Listed runners, by whether they answer"},
		{&g.interference, "rhubarbstall.cell.interference", "Compared task classes, and pairs of them that are kept apart"},
		{&g.relays, "rhubarbstall.cell.relays", "VMs through which the scheduler calls runners"},
		{&g.accounts, "rhubarbstall.cell.account.usage", "What client accounts use of their limits, by account, resource and state"},
		{&g.accountWaiting, "rhubarbstall.cell.account.waiting", "Steps of a client account with tasks that wait for their start, by whether they are excess"},
	} {
		var err error
		if *x.to, err = g.meter.Int64ObservableGauge(x.name, metric.WithDescription(x.description)); err != nil {
			return nil, err
		}
	}
	for _, x := range []struct {
		to                *metric.Int64ObservableCounter
		name, description string
	}{
		{&g.reports, "rhubarbstall.cell.reports", "Reports of runners in this term"},
		{&g.ends, "rhubarbstall.cell.reports.ends", "Ends in the reports of this term, by whether they were listed before"},
		{&g.relayBatches, "rhubarbstall.cell.relay.batches", "Batches of calls to relays in this term"},
		{&g.relayCalls, "rhubarbstall.cell.relay.calls", "Calls to runners through relays in this term"},
	} {
		var err error
		if *x.to, err = g.meter.Int64ObservableCounter(x.name, metric.WithDescription(x.description)); err != nil {
			return nil, err
		}
	}
	for _, x := range []struct {
		to                      *metric.Float64ObservableGauge
		name, unit, description string
	}{
		{&g.adviceAge, "rhubarbstall.cell.advice.oldest", "s", "Age of the oldest call to the advisor that is not answered"},
		{&g.stateAge, "rhubarbstall.cell.states.oldest", "s", "Age of the oldest changed state that waits for a write"},
		{&g.reportAge, "rhubarbstall.cell.reports.oldest", "s", "Age of the oldest last report of a listed runner"},
		{&g.runQueue, "rhubarbstall.cell.run_queue", "s", "99th percentile of the time for which goroutines waited for a processor"},
		{&g.lock, "rhubarbstall.cell.lock.wait", "s", "Time that callers waited for the scheduler's lock in the last second, summed"},
		{&g.accountShare, "rhubarbstall.cell.account.share", "", "Dominant share of the cell that a client account holds"},
		{&g.accountWeight, "rhubarbstall.cell.account.weight", "", "Share of a client account's weight in all weights"},
		{&g.accountExcess, "rhubarbstall.cell.account.excess", "", "Share of a client account's recent jobs beyond its weight"},
		{&g.cores, "rhubarbstall.cell.cpu.limit", "", "Share of a processor that the VM has, in cores"},
	} {
		var err error
		if *x.to, err = g.meter.Float64ObservableGauge(x.name, metric.WithUnit(x.unit), metric.WithDescription(x.description)); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// register makes f the callback that observes the metrics until it is unregistered.
func (g *loadGauges) register(f func(metric.Observer)) (metric.Registration, error) {
	return g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error { f(o); return nil },
		g.jobs, g.tasks, g.groups, g.orders, g.window, g.runs, g.advice, g.states, g.runners,
		g.relays, g.accounts, g.interference, g.reports, g.ends, g.relayBatches, g.relayCalls, g.adviceAge, g.stateAge, g.reportAge, g.runQueue, g.lock, g.cores,
		g.accountShare, g.accountWeight, g.accountExcess, g.accountWaiting)
}

func (g *loadGauges) observe(o metric.Observer, r *loadReport) {
	counts := func(i metric.Int64Observable, key string, values ...labelledCount) {
		for _, v := range values {
			o.ObserveInt64(i, v.n, metric.WithAttributes(attribute.String(key, v.label)))
		}
	}
	counts(g.jobs, "state", labelledCount{"known", int64(r.KnownJobs)}, labelledCount{"open", int64(r.OpenJobs)}, labelledCount{"waiting", int64(r.WaitingJobs)})
	for _, w := range r.Backlog {
		counts(g.tasks, "priority", labelledCount{strconv.Itoa(w.Priority), int64(w.Tasks)})
	}
	w := &r.WaitReasons
	counts(g.groups, "reason", labelledCount{"inherited", int64(w.Inherited)}, labelledCount{"paused", int64(w.Paused)}, labelledCount{"due", int64(w.NotDue)},
		labelledCount{"mark", int64(w.MarkNotStored)}, labelledCount{"advice", int64(w.AwaitingAdvice)}, labelledCount{"room", int64(w.NoCapacity)}, labelledCount{"limit", int64(w.AccountLimit)})
	counts(g.orders, "kind", labelledCount{"start", r.startsInFlight}, labelledCount{"stop", r.stopsInFlight},
		labelledCount{"start_queued", int64(r.orders.queuedStarts)}, labelledCount{"small_queued", int64(r.orders.queuedSmall)})
	counts(g.window, "state", labelledCount{"size", int64(r.orders.window)}, labelledCount{"used", int64(r.orders.inFlight)})
	counts(g.runs, "state", labelledCount{"unanswered", int64(r.Unconfirmed)}, labelledCount{"unsure", int64(r.OutcomeUnknown)}, labelledCount{"stopping", int64(r.Stopping)},
		labelledCount{"active", int64(r.Runs - r.Unconfirmed - r.OutcomeUnknown - r.Stopping)}, labelledCount{"copy", int64(r.Copies)})
	counts(g.advice, "state", labelledCount{"queued", int64(r.adviceQueued)}, labelledCount{"under_way", int64(r.adviceAssigned)})
	o.ObserveInt64(g.states, int64(r.DirtyStates))
	counts(g.runners, "state", labelledCount{"listed", int64(r.Runners)}, labelledCount{"suspect", int64(r.Suspect)}, labelledCount{"unheard", int64(r.NeverReported)},
		labelledCount{"slow", int64(r.SlowRunners)}, labelledCount{"fast", int64(r.FastRunners)})
	counts(g.interference, "state", labelledCount{"classes", int64(r.Interference.Classes)}, labelledCount{"pairs", int64(r.Interference.Pairs)})
	o.ObserveInt64(g.relays, int64(r.relays.Relays))
	observeAccounts(o, g.accounts, r.Accounts)
	o.ObserveInt64(g.relayBatches, r.relaySums.Batches)
	o.ObserveInt64(g.relayCalls, r.relaySums.Calls)
	o.ObserveInt64(g.reports, r.Reports.Reports)
	counts(g.ends, "repeated", labelledCount{"false", r.Reports.Ends - r.Reports.Repeated}, labelledCount{"true", r.Reports.Repeated})
	o.ObserveFloat64(g.adviceAge, r.adviceOldest.Seconds())
	o.ObserveFloat64(g.stateAge, r.OldestDirty.Seconds())
	o.ObserveFloat64(g.reportAge, r.OldestReport.Seconds())
	o.ObserveFloat64(g.runQueue, r.process.runQueue.Seconds())
	o.ObserveFloat64(g.lock, r.lockWaits.sum.Seconds())
	for i := range r.AccountShares {
		a := &r.AccountShares[i]
		account := attribute.String("account", a.Name)
		o.ObserveFloat64(g.accountShare, a.Share, metric.WithAttributes(account))
		o.ObserveFloat64(g.accountWeight, a.WeightShare, metric.WithAttributes(account))
		o.ObserveFloat64(g.accountExcess, a.ExcessShare, metric.WithAttributes(account))
		o.ObserveInt64(g.accountWaiting, int64(a.WaitingGroups-a.ExcessGroups), metric.WithAttributes(account, attribute.String("excess", "false")))
		o.ObserveInt64(g.accountWaiting, int64(a.ExcessGroups), metric.WithAttributes(account, attribute.String("excess", "true")))
	}
	if r.cores > 0 {
		o.ObserveFloat64(g.cores, r.cores)
	}
}

// labelledCount is a count with the value of its attribute.
type labelledCount struct {
	label string
	n     int64
}
