package cellsched

import (
	rtmetrics "runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// Names of the runtime's metrics; reading them does not stop the process.
const (
	goroutineMetric = "/sched/goroutines:goroutines"
	heapMetric      = "/memory/classes/heap/objects:bytes"
	runQueueMetric  = "/sched/latencies:seconds"
)

// procLoad reads what the process uses.
type procLoad struct {
	samples [3]rtmetrics.Sample
	// used is the processor time at the last reading, queued the run queue's histogram.
	used   time.Duration
	queued []uint64
}

// procReading is what the process used since the reading before.
type procReading struct {
	cpu        time.Duration
	heap       uint64
	goroutines uint64
	// runQueue is the 99th percentile of the time for which goroutines that could run
	// waited for a processor.
	runQueue time.Duration
}

func newProcLoad() *procLoad {
	p := &procLoad{}
	for i, name := range []string{goroutineMetric, heapMetric, runQueueMetric} {
		p.samples[i].Name = name
	}
	p.read()
	return p
}

func (p *procLoad) read() procReading {
	var r procReading
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		r.cpu, p.used = used-p.used, used
	}
	rtmetrics.Read(p.samples[:])
	if v := p.samples[0].Value; v.Kind() == rtmetrics.KindUint64 {
		r.goroutines = v.Uint64()
	}
	if v := p.samples[1].Value; v.Kind() == rtmetrics.KindUint64 {
		r.heap = v.Uint64()
	}
	if v := p.samples[2].Value; v.Kind() == rtmetrics.KindFloat64Histogram {
		r.runQueue = p.newP99(v.Float64Histogram())
	}
	return r
}

// newP99 returns the 99th percentile of what a cumulative histogram gained since the last
// call, as the lower bound of its bucket.
func (p *procLoad) newP99(h *rtmetrics.Float64Histogram) time.Duration {
	if len(p.queued) != len(h.Counts) {
		p.queued = make([]uint64, len(h.Counts))
	}
	var total uint64
	for i, n := range h.Counts {
		p.queued[i], total = n-p.queued[i], total+n-p.queued[i]
	}
	above, bucket := uint64(0), 0
	for i := len(h.Counts) - 1; i >= 0 && total > 0; i-- {
		if above += p.queued[i]; above > total/100 {
			bucket = i
			break
		}
	}
	copy(p.queued, h.Counts)
	// The first bucket begins at minus infinity.
	return time.Duration(max(h.Buckets[bucket], 0) * float64(time.Second))
}
