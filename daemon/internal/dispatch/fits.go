package dispatch

import "rhubarbstall.example/sched/model"

// CheckFits returns a *model.NeverFitsError if a task needs more of one resource than
// every worker has or, for a gang, if its tasks together need more than all workers
// have. Such a job can then be refused before it is stored. CheckFits returns nil while
// the capacity of a worker is unknown. It compares each resource separately, so it does
// not find a size whose parts fit only on different workers.
func (d *Dispatcher) CheckFits(jobType model.JobType, tasks int, size model.Resources) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var most, sum model.Resources
	var biggest [3]string
	for id, l := range d.links {
		if !l.fullStateKnown {
			return nil
		}
		c := toResources(l.info.Capacity)
		if size.Fits(c) && jobType != model.Gang {
			return nil
		}
		for i, v := range []struct{ have, top int64 }{
			{c.MilliCPU, most.MilliCPU}, {c.MemoryMB, most.MemoryMB}, {c.Accelerators, most.Accelerators},
		} {
			if v.have > v.top || biggest[i] == "" {
				biggest[i] = id
			}
		}
		most, sum = most.Max(c), sum.Add(c)
	}
	if len(d.links) == 0 {
		return nil
	}
	parts := []struct {
		name                 string
		need, largest, total int64
	}{
		{"milli_cpu", size.MilliCPU, most.MilliCPU, sum.MilliCPU},
		{"memory_mb", size.MemoryMB, most.MemoryMB, sum.MemoryMB},
		{"accelerators", size.Accelerators, most.Accelerators, sum.Accelerators},
	}
	for i, p := range parts {
		if p.need > p.largest {
			return &model.NeverFitsError{Resource: p.name, Need: p.need, Largest: p.largest, Worker: biggest[i]}
		}
		if jobType == model.Gang && p.need*int64(tasks) > p.total {
			return &model.NeverFitsError{Resource: p.name, Need: p.need * int64(tasks), Largest: p.total}
		}
	}
	return nil
}
