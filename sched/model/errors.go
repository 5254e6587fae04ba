package model

import "fmt"

// NeverFitsError tells why a job can never run.
type NeverFitsError struct {
	// Resource is "milli_cpu", "memory_mb", "accelerators" or "workers".
	Resource string
	Need     int64
	// Largest is the most that any one worker has, or that all have together for
	// a gang.
	Largest int64
	// Worker is the largest worker, empty if the bound is the sum of all.
	Worker string
}

// Error names the resource and the largest worker.
func (e *NeverFitsError) Error() string {
	if e.Worker == "" {
		return fmt.Sprintf("needs %d %s; all workers of the availability zone have %d together", e.Need, e.Resource, e.Largest)
	}
	return fmt.Sprintf("a task needs %d %s; the largest worker %q has %d", e.Need, e.Resource, e.Worker, e.Largest)
}
