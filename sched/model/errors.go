package model

import "fmt"

// NeverFitsError reports that a job needs more than the workers of the zone have.
type NeverFitsError struct {
	// Resource is "milli_cpu", "memory_mb", "accelerators" or "workers". With
	// "workers", all tasks of a gang together fit the total capacity, but not the
	// capacity of the single workers.
	Resource string
	// Need is the amount that one task needs or, if Worker is empty, all tasks of a
	// gang together. With "workers" it is the number of tasks.
	Need int64
	// Largest is the capacity of Worker or, if Worker is empty, of all workers
	// together. With "workers" it is the number of tasks that fit at the same time.
	Largest int64
	// Worker is the ID of the worker with the largest capacity of Resource or, if each
	// resource fits on some worker but no worker has enough of all, of the worker that
	// comes closest. It is empty if all tasks of a gang together do not fit.
	Worker string
}

// Error implements error.
func (e *NeverFitsError) Error() string {
	if e.Worker == "" {
		return fmt.Sprintf("needs %d %s; all workers of the availability zone have %d together", e.Need, e.Resource, e.Largest)
	}
	return fmt.Sprintf("no worker fits a task that needs %d %s: worker %q, which comes closest, has %d", e.Need, e.Resource, e.Worker, e.Largest)
}
