package ledger

import "rhubarbstall.example/sched/model"

// CheckFits returns a *model.NeverFitsError if the job could not run even if all
// workers were idle. It returns nil if there are no workers, because workers may not
// have registered yet.
func CheckFits(j model.Job, workers []model.Worker) error {
	if len(workers) == 0 || j.Tasks == 0 {
		return nil
	}
	if err := checkTask(j.Size, workers); err != nil {
		return err
	}
	if j.Type != model.Gang {
		return nil
	}
	return checkGang(j, workers)
}

func components(r model.Resources) [3]int64 {
	return [3]int64{r.MilliCPU, r.MemoryMB, r.Accelerators}
}

var componentNames = [3]string{"milli_cpu", "memory_mb", "accelerators"}

func checkTask(size model.Resources, workers []model.Worker) error {
	need := components(size)
	var largest [3]int64
	var largestWorker [3]string
	var closest *model.Worker
	for i := range workers {
		w := &workers[i]
		if size.Fits(w.Capacity) {
			return nil
		}
		for c, have := range components(w.Capacity) {
			if have > largest[c] || largestWorker[c] == "" {
				largest[c], largestWorker[c] = have, w.ID
			}
		}
		if closest == nil || shortfall(size, w.Capacity) < shortfall(size, closest.Capacity) {
			closest = w
		}
	}
	for c := range need {
		if need[c] > largest[c] {
			return &model.NeverFitsError{Resource: componentNames[c], Need: need[c], Largest: largest[c], Worker: largestWorker[c]}
		}
	}
	// Each component fits on some worker, but no worker has enough of all of them. The
	// error names the component that is short on the worker that comes closest.
	for c, have := range components(closest.Capacity) {
		if need[c] > have {
			return &model.NeverFitsError{Resource: componentNames[c], Need: need[c], Largest: have, Worker: closest.ID}
		}
	}
	return nil
}

// shortfall returns the largest fraction of a component of size that exceeds the
// capacity, from 0 to 1.
func shortfall(size, capacity model.Resources) float64 {
	worst := 0.0
	have := components(capacity)
	for c, need := range components(size) {
		if need > have[c] {
			worst = max(worst, float64(need-have[c])/float64(need))
		}
	}
	return worst
}

func checkGang(j model.Job, workers []model.Worker) error {
	var total model.Resources
	var fitting int64
	for _, w := range workers {
		total = total.Add(w.Capacity)
		fitting += FitCount(j.Size, w.Capacity)
	}
	need := components(j.Size.Scale(int64(j.Tasks)))
	for c, have := range components(total) {
		if need[c] > have {
			return &model.NeverFitsError{Resource: componentNames[c], Need: need[c], Largest: have}
		}
	}
	if fitting < int64(j.Tasks) {
		return &model.NeverFitsError{Resource: "workers", Need: int64(j.Tasks), Largest: fitting}
	}
	return nil
}

// FitCount returns how many tasks of the given size fit into the free resources, at
// most 1<<30.
func FitCount(size, free model.Resources) int64 {
	count := int64(1 << 30)
	have := components(free)
	for c, need := range components(size) {
		if have[c] < 0 {
			return 0
		}
		if need > 0 {
			count = min(count, have[c]/need)
		}
	}
	return count
}
