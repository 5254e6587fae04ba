package cellsched

import (
	rtmetrics "runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// Names of metrics of the Go runtime. Reading them does not stop the world.
const (
	goroutineMetric = "/sched/goroutines:goroutines"
	heapMetric      = "/memory/classes/heap/objects:bytes"
	runQueueMetric  = "/sched/latencies:seconds"
)

// processMonitor measures the resource usage of the process.
type processMonitor struct {
	samples [3]rtmetrics.Sample
	// cpuUsed is the CPU time at the last reading, and runQueueCounts the bucket counts of the
	// run queue's histogram.
	cpuUsed        time.Duration
	runQueueCounts []uint64
}

// processUsage is the CPU time and the run queue latency since the previous reading, and the
// current heap size and number of goroutines.
type processUsage struct {
	cpu        time.Duration
	heap       uint64
	goroutines uint64
	// runQueue is the 99th percentile of the time for which runnable goroutines waited for a
	// processor.
	runQueue time.Duration
}

func newProcessMonitor() *processMonitor {
	p := &processMonitor{}
	for i, name := range []string{goroutineMetric, heapMetric, runQueueMetric} {
		p.samples[i].Name = name
	}
	p.read()
	return p
}

func (p *processMonitor) read() processUsage {
	var r processUsage
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		r.cpu, p.cpuUsed = used-p.cpuUsed, used
	}
	rtmetrics.Read(p.samples[:])
	if v := p.samples[0].Value; v.Kind() == rtmetrics.KindUint64 {
		r.goroutines = v.Uint64()
	}
	if v := p.samples[1].Value; v.Kind() == rtmetrics.KindUint64 {
		r.heap = v.Uint64()
	}
	if v := p.samples[2].Value; v.Kind() == rtmetrics.KindFloat64Histogram {
		r.runQueue = p.p99SinceLastCall(v.Float64Histogram())
	}
	return r
}

// p99SinceLastCall returns the 99th percentile of the values that were added to a cumulative
// histogram since the last call, as the lower bound of the percentile's bucket.
func (p *processMonitor) p99SinceLastCall(h *rtmetrics.Float64Histogram) time.Duration {
	if len(p.runQueueCounts) != len(h.Counts) {
		p.runQueueCounts = make([]uint64, len(h.Counts))
	}
	var total uint64
	for i, n := range h.Counts {
		p.runQueueCounts[i], total = n-p.runQueueCounts[i], total+n-p.runQueueCounts[i]
	}
	above, bucket := uint64(0), 0
	for i := len(h.Counts) - 1; i >= 0 && total > 0; i-- {
		if above += p.runQueueCounts[i]; above > total/100 {
			bucket = i
			break
		}
	}
	copy(p.runQueueCounts, h.Counts)
	// The lower bound of the first bucket is minus infinity.
	return time.Duration(max(h.Buckets[bucket], 0) * float64(time.Second))
}
