package replay

import (
	"cmp"
	"fmt"
	"slices"
)

// WithFlood returns the trace up to untilMS with additional jobs of one kind. The added
// jobs arrive evenly from fromMS to untilMS and need factor times the processor time of
// the fleet in that period. They are copies of the first job of the kind that does not
// fail, spread over the departments. If the trace has no such job, WithFlood returns
// nil.
func WithFlood(t *Trace, kind string, fromMS, untilMS int64, factor int64) *Trace {
	var template *JobSpec
	out := &Trace{Header: t.Header}
	for _, e := range t.Events {
		if template == nil && e.Job != nil && e.Job.Kind == kind && !e.Job.Fails {
			template = e.Job
		}
		if e.AtMS <= untilMS {
			out.Events = append(out.Events, e)
		}
	}
	if template == nil {
		return nil
	}
	const tasksPerJob = 200
	workPerJob := template.MilliCPU * template.RunMS * tasksPerJob
	capacity := t.Capacity().MilliCPU * (untilMS - fromMS)
	jobCount := capacity * factor / workPerJob
	if jobCount < factor {
		jobCount = factor
	}
	for i := range jobCount {
		j := *template
		j.ID = fmt.Sprintf("flood-%d", i)
		j.Tasks, j.UsedMemoryMB = tasksPerJob, j.MemoryMB
		j.Department = t.Departments[int(i)%len(t.Departments)].Path
		out.Events = append(out.Events, Event{AtMS: fromMS + i*(untilMS-fromMS)/jobCount, Job: &j})
	}
	slices.SortStableFunc(out.Events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return out
}
