package cellsched

import (
	"time"

	"go.uber.org/zap/zapcore"

	"rhubarbstall.example/daemon/internal/netcount"
	"rhubarbstall.example/sched/cell"
)

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r *loadReport) MarshalLogObject(e zapcore.ObjectEncoder) error {
	ms := func(key string, d time.Duration) { e.AddFloat64(key, float64(d.Microseconds())/1000) }
	count := func(key string, n int64) { e.AddInt64(key, n) }
	ms("interval_ms", r.interval)
	e.AddInt("jobs_known", r.KnownJobs)
	e.AddInt("jobs_open", r.OpenJobs)
	e.AddInt("jobs_waiting", r.WaitingJobs)
	e.AddFloat64("jobs_ended_per_s", r.EndedPerSecond)
	if err := e.AddArray("waiting", priorityWaits(r.Backlog)); err != nil {
		return err
	}
	if accounts := busyAccounts(r.AccountShares); len(accounts) > 0 {
		if err := e.AddArray("account_shares", accounts); err != nil {
			return err
		}
	}
	e.AddInt("wait_inherited", r.WaitReasons.Inherited)
	e.AddInt("wait_paused", r.WaitReasons.Paused)
	e.AddInt("wait_due", r.WaitReasons.NotDue)
	e.AddInt("wait_mark", r.WaitReasons.MarkNotStored)
	e.AddInt("wait_advice", r.WaitReasons.AwaitingAdvice)
	e.AddInt("wait_room", r.WaitReasons.NoCapacity)
	if len(r.Accounts) > 0 {
		e.AddInt("wait_limit", r.WaitReasons.AccountLimit)
		if err := e.AddArray("accounts", accountUsages(r.Accounts)); err != nil {
			return err
		}
	}
	count("starts_ordered", r.startsOrdered)
	count("starts_ok", r.startsOK)
	count("starts_refused", r.startsRefused)
	if err := e.AddObject("starts_refused_by_reason", r.refusals); err != nil {
		return err
	}
	count("starts_unknown", r.startsUnknown)
	count("starts_late", r.startsLate)
	count("stops_ordered", r.stopsOrdered)
	count("stops_ok", r.stopsOK)
	count("stops_unanswered", r.stopsUnanswered)
	count("starts_in_flight", r.startsInFlight)
	count("stops_in_flight", r.stopsInFlight)
	e.AddInt("starts_queued", r.orders.queuedStarts)
	e.AddInt("small_orders_queued", r.orders.queuedSmall)
	e.AddInt("window_bytes", r.orders.window)
	e.AddInt("window_used_bytes", r.orders.inFlight)
	ms("start_p50_ms", r.startLatencies.p50)
	ms("start_p99_ms", r.startLatencies.p99)
	e.AddInt("runs", r.Runs)
	e.AddInt("runs_unanswered", r.Unconfirmed)
	e.AddInt("runs_unsure", r.OutcomeUnknown)
	e.AddInt("runs_stopping", r.Stopping)
	e.AddInt("decisions", r.decisionDurations.count)
	ms("decision_p50_ms", r.decisionDurations.p50)
	ms("decision_max_ms", r.decisionDurations.max)
	ms("decision_sum_ms", r.decisionDurations.sum)
	e.AddInt("lock_waits", r.lockWaits.count)
	ms("lock_wait_sum_ms", r.lockWaits.sum)
	ms("lock_wait_max_ms", r.lockWaits.max)
	e.AddInt("advice_queued", r.adviceQueued)
	e.AddInt("advice_under_way", r.adviceAssigned)
	e.AddInt("advice_vms", r.adviceVMs)
	ms("advice_oldest_ms", r.adviceOldest)
	e.AddInt("states_dirty", r.DirtyStates)
	ms("states_oldest_ms", r.OldestDirty)
	e.AddInt("runners", r.Runners)
	e.AddInt("runners_suspect", r.Suspect)
	e.AddInt("runners_unheard", r.NeverReported)
	if r.SlowRunners > 0 {
		e.AddInt("runners_slow", r.SlowRunners)
	}
	if r.FastRunners > 0 {
		e.AddInt("runners_fast", r.FastRunners)
	}
	ms("report_oldest_ms", r.OldestReport)
	e.AddInt("relays", r.relays.Relays)
	e.AddInt("relay_calls_waiting", r.relays.Waiting)
	count("relay_batches", r.relays.Batches)
	count("relay_calls", r.relays.Calls)
	count("reports", r.intervalReports.Reports)
	count("reports_runs", r.intervalReports.Runs)
	count("reports_ends", r.intervalReports.Ends)
	count("reports_ends_repeated", r.intervalReports.Repeated)
	ms("cpu_ms", r.process.cpu)
	if r.cores > 0 {
		ms("cpu_limit_ms", time.Duration(r.cores*float64(r.interval)))
	}
	ms("run_queue_p99_ms", r.process.runQueue)
	e.AddUint64("heap_bytes", r.process.heap)
	count("job_bytes", r.Bytes)
	e.AddUint64("goroutines", r.process.goroutines)
	sent, received := r.traffic.Total()
	count("sent_bytes", sent)
	count("received_bytes", received)
	if r.linkMbps > 0 {
		count("link_limit_bytes", int64(r.linkMbps*bytesPerMbit*r.interval.Seconds()))
	}
	if err := e.AddObject("peer_calls", r.peerCalls); err != nil {
		return err
	}
	if err := e.AddObject("peer_calls_shed", r.shedCalls); err != nil {
		return err
	}
	for l, t := range r.traffic {
		if t.Sent > 0 || t.Received > 0 {
			count("sent_"+netcount.Link(l).String()+"_bytes", t.Sent)
			count("received_"+netcount.Link(l).String()+"_bytes", t.Received)
			count(netcount.Link(l).String()+"_writes", t.Writes)
			count(netcount.Link(l).String()+"_reads", t.Reads)
		}
	}
	return nil
}

// priorityWaits logs the number of waiting groups and tasks of each priority, and how many of its tasks
// were started a second lately.
type priorityWaits []cell.PriorityBacklog

func (p priorityWaits) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for i := range p {
		w := &p[i]
		err := e.AppendObject(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
			e.AddInt("priority", w.Priority)
			e.AddInt("groups", w.Groups)
			e.AddInt("tasks", w.Tasks)
			e.AddFloat64("starts_per_s", w.StartsPerSecond)
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

// accountWaits logs the accounts that have waiting work or submit more than their weight.
type accountWaits []cell.AccountStats

func busyAccounts(all []cell.AccountStats) accountWaits {
	var out accountWaits
	for i := range all {
		if all[i].WaitingGroups > 0 || all[i].ExcessShare > 0 {
			out = append(out, all[i])
		}
	}
	return out
}

func (a accountWaits) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for i := range a {
		s := &a[i]
		err := e.AppendObject(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
			e.AddString("account", s.Name)
			e.AddFloat64("share", s.Share)
			e.AddFloat64("weight_share", s.WeightShare)
			e.AddInt("groups", s.WaitingGroups)
			e.AddInt("excess_groups", s.ExcessGroups)
			e.AddFloat64("excess", s.ExcessShare)
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}
