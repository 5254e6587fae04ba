package cellsched

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/netcount"
	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/sched/cell"
)

// bytesPerMbit converts a bandwidth from Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// loadLogInterval is the interval at which the load is logged.
const loadLogInterval = time.Second

// loadCounts counts the scheduler's orders and decisions between two load reports.
type loadCounts struct {
	startsOrdered, startsOK, startsRefused, startsUnknown atomic.Int64
	// startsLate counts the start orders that had no answer in time. Their outcome is counted when the
	// answer comes or is not awaited any more.
	startsLate                             atomic.Int64
	stopsOrdered, stopsOK, stopsUnanswered atomic.Int64
	// startsInFlight and stopsInFlight are the orders without an answer yet.
	startsInFlight, stopsInFlight atomic.Int64
	// startLatencies holds the times from the decision of a start to the answer to its order;
	// decisionDurations holds the durations of Tick and Decide together.
	startLatencies, decisionDurations durationHistogram
	// refusals counts the refused starts by reason.
	refusals countsByName
	// lastReport is the last load report, which the metrics show.
	lastReport atomic.Pointer[loadReport]
}

// recordDecision counts the orders of a decision and records its duration since begin, when
// s.mu was locked.
func (s *Scheduler) recordDecision(begin time.Time, d *cell.Decisions) {
	took := time.Since(begin)
	s.loadCounts.decisionDurations.record(took)
	s.metrics.decisionDuration.Record(context.Background(), took.Seconds())
	s.loadCounts.startsOrdered.Add(int64(len(d.Starts)))
	s.loadCounts.startsInFlight.Add(int64(len(d.Starts)))
}

// countStartOutcome counts the outcome of a start order and records its latency. It is called once an
// order, when the outcome is known or its answer is not awaited any more.
func (s *Scheduler) countStartOutcome(run *cell.Run, outcome cell.StartOutcome, reason string) {
	s.loadCounts.startsInFlight.Add(-1)
	took := time.Since(run.Started)
	s.loadCounts.startLatencies.record(took)
	s.metrics.startDuration.Record(context.Background(), took.Seconds())
	switch outcome {
	case cell.StartOK:
		s.loadCounts.startsOK.Add(1)
		s.metrics.countStart("ok")
	case cell.StartRefused:
		s.loadCounts.startsRefused.Add(1)
		s.loadCounts.refusals.add(reason)
		s.metrics.countStart(reason)
	default:
		s.loadCounts.startsUnknown.Add(1)
		s.metrics.countStart("unknown")
	}
}

// countStopOrdered counts a stop order that is queued.
func (s *Scheduler) countStopOrdered() {
	s.loadCounts.stopsOrdered.Add(1)
	s.loadCounts.stopsInFlight.Add(1)
}

// stopOutcome is what has become of a stop order. The values label a metric.
type stopOutcome string

const (
	stopAcked      stopOutcome = "ok"
	stopUnanswered stopOutcome = "unanswered"
	// stopRepeated means that the order was not queued, because an earlier one is under way.
	stopRepeated stopOutcome = "repeated"
)

// countStopOutcome counts the outcome of a stop order that was queued.
func (s *Scheduler) countStopOutcome(outcome stopOutcome) {
	s.loadCounts.stopsInFlight.Add(-1)
	s.metrics.countStop(string(outcome))
	switch outcome {
	case stopAcked:
		s.loadCounts.stopsOK.Add(1)
	case stopUnanswered:
		s.loadCounts.stopsUnanswered.Add(1)
	}
}

// loadReport is the scheduler's backlog at one time, and its activity in the interval before.
type loadReport struct {
	cell.Stats
	interval time.Duration
	// cores is the VM's CPU limit in cores; 0 if unknown.
	cores                                                 float64
	startsOrdered, startsOK, startsRefused, startsUnknown int64
	startsLate                                            int64
	stopsOrdered, stopsOK, stopsUnanswered                int64
	startsInFlight, stopsInFlight                         int64
	startLatencies, decisionDurations, lockWaits          durationSummary
	adviceQueued, adviceAssigned, adviceVMs               int
	refusals, peerCalls, shedCalls                        namedCounts
	orders                                                orderQueueStats
	// relays holds the counts of the relays, of which Batches and Calls are those of the interval;
	// relaySums has them since the term began.
	relays, relaySums relay.Stats
	adviceOldest      time.Duration
	process           processUsage
	// traffic is what the whole VM sent and received in the interval, not only its scheduler.
	traffic netcount.Traffic
	// linkMbps is the bandwidth of the VM's network link; 0 if unknown.
	linkMbps float64
	// intervalReports counts the runners' reports in the interval.
	intervalReports cell.ReportCounts
}

// loadLoop logs the load every second until the term ends.
func (s *Scheduler) loadLoop() {
	registered, err := s.metrics.register(func(o metric.Observer) {
		if r := s.loadCounts.lastReport.Load(); r != nil {
			s.metrics.observe(o, r)
		}
	})
	if err != nil {
		s.log.Warn("[sched] registering the load metrics failed", zap.Error(err))
	} else {
		defer func() { _ = registered.Unregister() }()
	}
	proc := newProcessMonitor()
	tick := time.NewTicker(loadLogInterval)
	defer tick.Stop()
	last, traffic := time.Now(), netcount.Snapshot()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		r := s.collectLoad(now, now.Sub(last), proc)
		last = now
		total := netcount.Snapshot()
		r.traffic, traffic = total.Since(traffic), total
		s.loadCounts.lastReport.Store(r)
		s.log.Info("[sched] load", zap.Int64("term", s.term.Number), zap.Inline(r))
		s.logWaitingGangs(now)
	}
}

// collectLoad returns the current load and the activity since the last call.
func (s *Scheduler) collectLoad(now time.Time, interval time.Duration, proc *processMonitor) *loadReport {
	counts := &s.loadCounts
	r := &loadReport{
		interval: interval, cores: s.settings.Cores, linkMbps: s.settings.LinkMbps,
		startsOrdered: counts.startsOrdered.Swap(0), startsOK: counts.startsOK.Swap(0), startsRefused: counts.startsRefused.Swap(0), startsUnknown: counts.startsUnknown.Swap(0),
		startsLate:   counts.startsLate.Swap(0),
		stopsOrdered: counts.stopsOrdered.Swap(0), stopsOK: counts.stopsOK.Swap(0), stopsUnanswered: counts.stopsUnanswered.Swap(0),
		startsInFlight: counts.startsInFlight.Load(), stopsInFlight: counts.stopsInFlight.Load(),
		startLatencies: counts.startLatencies.takeSummary(), decisionDurations: counts.decisionDurations.takeSummary(), lockWaits: s.mu.waits.takeSummary(),
		process: proc.read(),
	}
	if s.peerCalls != nil {
		r.peerCalls, r.shedCalls = s.peerCalls.take(), s.shedCalls.take()
	}
	r.orders, r.refusals = s.orders.stats(), counts.refusals.take()
	r.adviceQueued, r.adviceAssigned, r.adviceVMs, r.adviceOldest = s.adviceQueue.stats(now)
	s.exclusive(func() { r.Stats = s.cell.Stats(now, now.Round(0)) })
	if s.relays != nil {
		r.relaySums = s.relays.Stats()
	}
	r.intervalReports, r.relays = r.Reports, r.relaySums
	if before := counts.lastReport.Load(); before != nil {
		r.intervalReports = r.Reports.Since(before.Reports)
		r.relays.Batches -= before.relaySums.Batches
		r.relays.Calls -= before.relaySums.Calls
	}
	return r
}

// stats returns the number of queued calls, of assigned calls and of active VMs, and the age
// of the oldest call.
func (q *adviceQueue) stats(now time.Time) (queued, assigned, vms int, oldest time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.queued {
		oldest = max(oldest, now.Sub(q.queued[i].CreatedAt))
	}
	for _, call := range q.assigned {
		oldest = max(oldest, now.Sub(call.CreatedAt))
	}
	return len(q.queued), len(q.assigned), q.activeVMs(now), oldest
}
