package cellsched

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"rhubarbstall.example/standin/cellrunner"
)

// Guards against quantiles that are wrong by more than a bucket, and against durations that are
// counted again in the next interval.
func TestDurationHistogramSummarizesEachInterval(t *testing.T) {
	var histogram durationHistogram
	random := rand.New(rand.NewPCG(1, 1))
	for range 3 {
		var all []time.Duration
		for range 5000 {
			d := time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
			all = append(all, d)
			histogram.record(d)
		}
		slices.Sort(all)
		s := histogram.takeSummary()
		must.Eq(t, len(all), s.count)
		must.Eq(t, all[len(all)-1], s.max)
		for _, q := range []struct{ got, exact time.Duration }{{s.p50, all[2499]}, {s.p99, all[4949]}} {
			must.GreaterEq(t, q.exact, q.got)
			must.LessEq(t, q.exact+q.exact/bucketsPerDoubling+time.Microsecond, q.got)
		}
	}
	must.Eq(t, durationSummary{}, histogram.takeSummary())
	// Durations above the last bucket and negative ones, from clocks that went back, count too.
	histogram.record(-time.Second)
	histogram.record(100 * time.Hour)
	must.Eq(t, 2, histogram.takeSummary().count)
}

// Guards against buckets that overlap or leave gaps.
func TestDurationBucketsAreContiguous(t *testing.T) {
	for i := range bucketCount - 1 {
		limit := bucketUpperBound(i)
		must.Eq(t, i, bucketIndex(limit-time.Microsecond))
		must.Eq(t, i+1, bucketIndex(limit))
	}
}

// Guards against waits for a held lock that are not recorded, and against recorded waits for a
// free lock.
func TestWaitMutexRecordsWaits(t *testing.T) {
	var m waitMutex
	lockOnce := func() {
		m.Lock()
		defer m.Unlock()
	}
	lockOnce()
	must.Eq(t, 0, m.waits.takeSummary().count)
	// It depends on the runtime whether the other goroutine finds the lock held.
	for range 1000 {
		m.Lock()
		done := make(chan struct{})
		go func() {
			defer close(done)
			lockOnce()
		}()
		time.Sleep(time.Millisecond)
		m.Unlock()
		<-done
		if s := m.waits.takeSummary(); s.count > 0 {
			must.Eq(t, 1, s.count)
			must.Positive(t, s.max)
			return
		}
	}
	t.Fatal("no wait was recorded")
}

// loadLogLines returns the fields of the load log lines, in order.
func loadLogLines(logs *observer.ObservedLogs) []map[string]any {
	var lines []map[string]any
	for _, e := range logs.FilterMessage("[sched] load").All() {
		lines = append(lines, e.ContextMap())
	}
	return lines
}

// fieldValue returns an integer field of a log line, or -1 if it has no such field.
func fieldValue(line map[string]any, key string) int64 {
	switch n := line[key].(type) {
	case int:
		return int64(n)
	case int64:
		return n
	}
	return -1
}

func sumField(lines []map[string]any, key string) int64 {
	var n int64
	for _, l := range lines {
		n += fieldValue(l, key)
	}
	return n
}

// Guards against a load report that is not logged every second, that counts orders twice or never
// as answered, or that shows a backlog at the runners or the store although there is none.
func TestLoadIsLoggedEverySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		s := newSim(t, 1)
		defer s.close()
		s.log = zap.New(core)
		s.startVM()
		time.Sleep(2 * time.Second)
		for i := range 10 {
			s.submit(i + 1)
		}
		time.Sleep(20 * time.Second)
		lines := loadLogLines(logs)
		must.Between(t, 19, len(lines), 22)
		starts := int64(logs.FilterMessage("[sched] run started").Len())
		must.Eq(t, 10*simTasksPerJob, starts)
		must.Eq(t, starts, sumField(lines, "starts_ordered"))
		must.Eq(t, starts, sumField(lines, "starts_ok"))
		must.Eq(t, 0, sumField(lines, "starts_unknown"))
		last := lines[len(lines)-1]
		must.Eq(t, int64(10), fieldValue(last, "jobs_known"))
		for _, key := range []string{"jobs_open", "starts_in_flight", "stops_in_flight", "wait_room", "states_dirty", "runners_suspect"} {
			must.Eq(t, int64(0), fieldValue(last, key), must.Sprint(key))
		}
		must.Eq(t, int64(simRunners), fieldValue(last, "runners"))
		must.Less(t, float64(2*time.Second/time.Millisecond), last["report_oldest_ms"].(float64))
		must.Positive(t, fieldValue(last, "decisions"))
		must.Positive(t, fieldValue(last, "reports"))
		must.Eq(t, starts, sumField(lines, "reports_ends")-sumField(lines, "reports_ends_repeated"))
	})
}

// Guards against lost answers that count as refusals, and against unanswered stop orders that
// count as in flight forever.
func TestLoadCountsUnansweredOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		s := newSim(t, 2)
		defer s.close()
		s.log = zap.New(core)
		s.startVM()
		time.Sleep(2 * time.Second)
		s.fleet.SetFaults(cellrunner.Faults{LostResponseRate: 0.5})
		for i := range 10 {
			s.submit(i + 1)
		}
		time.Sleep(10 * time.Second)
		s.fleet.SetFaults(cellrunner.Faults{})
		time.Sleep(30 * time.Second)
		lines := loadLogLines(logs)
		must.Positive(t, sumField(lines, "starts_unknown"))
		must.Eq(t, sumField(lines, "starts_ordered"), sumField(lines, "starts_ok")+sumField(lines, "starts_refused")+sumField(lines, "starts_unknown"))
		must.Eq(t, sumField(lines, "stops_ordered"), sumField(lines, "stops_ok")+sumField(lines, "stops_unanswered"))
		last := lines[len(lines)-1]
		must.Eq(t, int64(0), fieldValue(last, "starts_in_flight"))
		must.Eq(t, int64(0), fieldValue(last, "stops_in_flight"))
		must.Eq(t, int64(0), fieldValue(last, "jobs_open"))
		var slowest float64
		for _, l := range lines {
			slowest = max(slowest, l["start_p99_ms"].(float64))
		}
		must.GreaterEq(t, float64(orderTimeout/time.Millisecond), slowest)
	})
}

// Guards against resource usage of the process that is not measured.
func TestProcessMonitorReportsUsage(t *testing.T) {
	p := newProcessMonitor()
	begin := time.Now()
	n := 0
	for time.Since(begin) < 30*time.Millisecond {
		n++
	}
	must.Positive(t, n)
	r := p.read()
	must.Positive(t, r.cpu)
	must.Positive(t, r.heap)
	must.Positive(t, r.goroutines)
	must.GreaterEq(t, 0, r.runQueue)
}

// Guards against a load line that hides why starts are refused: reasons that are added up over
// intervals, or lost.
func TestRefusedStartsAreCountedByReason(t *testing.T) {
	var c countsByName
	c.add("late")
	c.add("ticket")
	c.add("late")
	must.Eq(t, namedCounts{"late": 2, "ticket": 1}, c.take())
	must.MapEmpty(t, c.take())
}
