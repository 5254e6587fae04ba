package replay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"rhubarbstall.example/sched/model"
)

// DeploymentNames returns the names that Generate accepts.
func DeploymentNames() []string {
	var out []string
	for _, d := range deployments {
		out = append(out, d.name)
	}
	return out
}

// Generate returns the trace of a deployment, nil if the name is unknown. The trace is
// the same on each call.
func Generate(name string) *Trace {
	for i := range deployments {
		if deployments[i].name == name {
			return deployments[i].generate()
		}
	}
	return nil
}

func (d *deployment) generate() *Trace {
	rng := rand.New(rand.NewPCG(d.seed, 1))
	t := &Trace{Header: Header{Name: d.name, Departments: d.departments}}
	for i := range d.workers {
		w := WorkerSpec{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/d.workersPerRack), MilliCPU: d.cores * 1000, MemoryMB: d.memoryMB}
		if i >= d.workers-d.acceleratedWorkers {
			w.Accelerators = 2
		}
		// Every task fails on one of the workers.
		w.Broken = i == 7
		t.Workers = append(t.Workers, w)
	}
	for _, w := range d.workloads {
		t.Kinds = append(t.Kinds, w.kind)
		t.Events = append(t.Events, d.drawJobs(rng, &w)...)
	}
	t.Events = append(t.Events, d.drawIncidents(rng, t.Events)...)
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return t
}

// drawDepartment draws a department with a probability equal to its part of the fleet.
func (d *deployment) drawDepartment(rng *rand.Rand) string {
	h := Header{Departments: d.departments}
	x := rng.Float64()
	for _, dep := range d.departments {
		if x -= h.fleetShare(dep.Path); x < 0 {
			return dep.Path
		}
	}
	return d.departments[0].Path
}

// drawUniform draws a value of a range, all with the same probability.
func drawUniform(rng *rand.Rand, s valueRange) int64 { return s.low + rng.Int64N(s.high-s.low+1) }

// drawJobs returns jobs of a kind until they reach its load.
func (d *deployment) drawJobs(rng *rand.Rand, w *workload) []Event {
	remainingCoreMS := w.loadPerMille * int64(d.workers) * d.cores * d.durationMS / 1000
	var out []Event
	for n := 0; remainingCoreMS > 0; n++ {
		j := d.drawJob(rng, w, fmt.Sprintf("%s-%d", w.kind.Name, n))
		remainingCoreMS -= j.MilliCPU / 1000 * j.RunMS * int64(j.Tasks)
		e := Event{Job: j}
		if rng.Int64N(100) >= w.immediatePercent {
			// No job arrives in the last quarter, so that the longest task can finish.
			e.AtMS = rng.Int64N(d.durationMS * 3 / 4)
		}
		out = append(out, e)
	}
	return out
}

// drawJob draws one job. One in five declares too little memory. One in four declares
// its run time divided or multiplied by a factor of one to three.
func (d *deployment) drawJob(rng *rand.Rand, w *workload, id string) *JobSpec {
	cores := drawUniform(rng, w.cores)
	run := drawUniform(rng, w.runMS)
	j := &JobSpec{
		ID: id, Department: d.drawDepartment(rng), Kind: w.kind.Name, Type: w.jobType,
		Tasks: int(drawUniform(rng, w.tasks)), MilliCPU: cores * 1000, MemoryMB: cores * drawUniform(rng, w.memoryMBPerCore),
		Accelerators: w.accelerators, DeclaredMS: run, Checkpointing: w.checkpointing, NoRepeat: w.noRepeat,
		RunMS: run, SpreadPercent: 20,
	}
	j.UsedMemoryMB = j.MemoryMB * (60 + rng.Int64N(40)) / 100
	if rng.IntN(5) == 0 {
		j.UsedMemoryMB = j.MemoryMB * (105 + rng.Int64N(35)) / 100
	}
	switch rng.IntN(8) {
	case 0:
		j.DeclaredMS = run / (1 + rng.Int64N(3))
	case 1:
		j.DeclaredMS = run * (1 + rng.Int64N(3))
	}
	if w.jobType == model.Service {
		j.DeclaredMS, j.SpreadPercent = 0, 0
	}
	return j
}

// drawIncidents returns cancellations, failures of two workers, jobs that always fail
// and a job that can never run.
func (d *deployment) drawIncidents(rng *rand.Rand, events []Event) []Event {
	var out []Event
	cancelAtMS := d.durationMS / 3
	for _, e := range events {
		if e.Job.Type == model.Batch && e.AtMS < cancelAtMS && rng.IntN(50) == 0 {
			out = append(out, Event{AtMS: cancelAtMS, Cancel: e.Job.ID})
		}
	}
	for _, quarter := range []int64{1, 2} {
		id := fmt.Sprintf("w%02d", 10+quarter)
		out = append(out, Event{AtMS: quarter * d.durationMS / 4, Down: id}, Event{AtMS: quarter*d.durationMS/4 + 300_000, Up: id})
	}
	for n := range 3 {
		j := d.drawJob(rng, &d.workloads[0], fmt.Sprintf("failing-%d", n))
		j.Fails, j.Tasks = true, 4
		out = append(out, Event{AtMS: int64(n) * 600_000, Job: j})
	}
	huge := d.drawJob(rng, &d.workloads[0], "huge")
	huge.MilliCPU = 2 * d.cores * 1000
	return append(out, Event{AtMS: 60_000, Job: huge})
}
