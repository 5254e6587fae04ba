package replay

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbstall.example/sched/model"
)

// Report is the result of a replay.
type Report struct {
	trace *Trace
	// Packing is WorkDone times LowerBoundMS divided by the makespan: the least
	// resource-time that any schedule needs for the work that succeeded, divided by
	// that of this schedule. A schedule that loses work gets no credit for the time
	// that this saves.
	Packing float64
	// WorkDone is the part of the resource-time of all counted jobs that succeeded.
	WorkDone float64
	// MakespanMS is the time at which the last task ended, LowerBoundMS a time before
	// which no schedule can end the same work.
	MakespanMS, LowerBoundMS int64
	// JainIndex is Jain's fairness index over the departments.
	JainIndex float64
	// Decisions counts the calls of Engine.Decide.
	Decisions int
	// Rejected and Parked count jobs, Failed tasks, OutOfMemory and Stopped attempts.
	// Stopped includes attempts that were stopped with a checkpoint.
	Rejected, Parked int
	Failed           int
	OutOfMemory      int
	Stopped          int
	waitHistograms   map[string]*hdrhistogram.Histogram
	runIntervals     []runInterval
	lastEndMS        int64
	decideTime       time.Duration
}

// runInterval is the time during which an attempt ran. useful is false if the work of
// the attempt was lost.
type runInterval struct {
	job          *replayedJob
	fromMS, toMS int64
	useful       bool
}

func newReport(t *Trace) *Report {
	return &Report{trace: t, waitHistograms: map[string]*hdrhistogram.Histogram{}}
}

func (r *Report) recordWait(j *replayedJob, ms int64) {
	h := r.waitHistograms[j.spec.Kind]
	if h == nil {
		h = hdrhistogram.New(1, 7*24*3600_000, 3)
		r.waitHistograms[j.spec.Kind] = h
	}
	_ = h.RecordValue(max(ms, 1))
}

func (r *Report) recordRun(a *attempt, nowMS int64, useful bool) {
	if nowMS > a.startMS {
		r.runIntervals = append(r.runIntervals, runInterval{a.job, a.startMS, nowMS, useful})
	}
}

// WaitMS returns a percentile (0 to 100) of the time that tasks of a kind waited for
// their first start, in milliseconds. It is zero if none started.
func (r *Report) WaitMS(kind string, percentile float64) int64 {
	if h := r.waitHistograms[kind]; h != nil {
		return h.ValueAtQuantile(percentile)
	}
	return 0
}

// compute derives the measurements of the report at the end of a replay.
func (r *Report) compute(s *sim) {
	for _, w := range s.workersInOrder {
		for _, a := range w.runs {
			r.recordRun(a, s.nowMS, true)
		}
	}
	r.MakespanMS = r.lastEndMS
	if s.tasksLeft > 0 {
		r.MakespanMS = s.nowMS
	}
	r.LowerBoundMS = r.lowerBoundMS(s)
	if r.MakespanMS > 0 {
		r.Packing = r.WorkDone * float64(r.LowerBoundMS) / float64(max(r.MakespanMS, r.LowerBoundMS))
	}
	r.JainIndex = r.jainIndex(s)
}

// Goodput returns the part of the fleet's capacity that a kind used between two times
// for attempts whose work was not lost. It is the largest part over all resources.
func (r *Report) Goodput(kind string, fromMS, toMS int64) float64 {
	var sum resourceTime
	for _, i := range r.runIntervals {
		if i.useful && i.job.spec.Kind == kind {
			sum.add(i.job.spec.RequiredSize(), min(i.toMS, toMS)-max(i.fromMS, fromMS))
		}
	}
	return sum.capacityShare(r.trace.Capacity(), toMS-fromMS)
}

// Write prints the report, one measurement or group of measurements per line.
func (r *Report) Write(w io.Writer, name string) {
	fmt.Fprintf(w, "%s packing %.4f\n", name, r.Packing)
	fmt.Fprintf(w, "%s makespan_s %d bound_s %d work_done %.4f\n", name, r.MakespanMS/1000, r.LowerBoundMS/1000, r.WorkDone)
	fmt.Fprintf(w, "%s jain %.4f\n", name, r.JainIndex)
	for _, k := range r.trace.Kinds {
		fmt.Fprintf(w, "%s wait_ms %s p50 %d p99 %d\n", name, k.Name, r.WaitMS(k.Name, 50), r.WaitMS(k.Name, 99))
	}
	fmt.Fprintf(w, "%s rejected %d parked %d failed %d out_of_memory %d stopped %d\n", name, r.Rejected, r.Parked, r.Failed, r.OutOfMemory, r.Stopped)
	fmt.Fprintf(w, "%s decisions %d time_in_decide_ms %d\n", name, r.Decisions, r.decideTime.Milliseconds())
}

// resourceTime is an amount of resources times milliseconds.
type resourceTime struct{ cpu, memory, accelerators float64 }

func (v *resourceTime) add(r model.Resources, ms int64) {
	if ms > 0 {
		v.cpu += float64(r.MilliCPU) * float64(ms)
		v.memory += float64(r.MemoryMB) * float64(ms)
		v.accelerators += float64(r.Accelerators) * float64(ms)
	}
}

// capacityShare returns the resource-time divided by that of capacity c over ms
// milliseconds, for the resource with the largest ratio.
func (v *resourceTime) capacityShare(c model.Resources, ms int64) float64 {
	ratio := func(x float64, total int64) float64 {
		if total == 0 || ms <= 0 {
			return 0
		}
		return x / float64(total) / float64(ms)
	}
	return max(ratio(v.cpu, c.MilliCPU), ratio(v.memory, c.MemoryMB), ratio(v.accelerators, c.Accelerators))
}
