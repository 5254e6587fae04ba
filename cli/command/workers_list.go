package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

var workerHeader = []string{"WORKER", "AVAILABILITY ZONE", "RACK", "STATE", "CPU", "MEMORY", "ACCELERATORS", "RUNNING", "SPEED"}

func newWorkersList(a *app) *cobra.Command {
	return listCommand[oas.Worker]{
		use: "list", short: "List the workers of the server's availability zone", empty: "no workers",
		header: workerHeader, fetch: (*oas.Client).ListWorkers, addRow: addWorker,
	}.build(a)
}

// addWorker adds a row for a worker, with each resource as reserved/capacity.
func addWorker(t *table, w oas.Worker) {
	t.add(w.ID, w.AvailabilityZone, w.Rack, w.State,
		fmt.Sprintf("%.1f/%.1f", float64(w.Reserved.MilliCPU)/1000, float64(w.Capacity.MilliCPU)/1000),
		fmt.Sprintf("%d/%d MB", w.Reserved.MemoryMB, w.Capacity.MemoryMB),
		fmt.Sprintf("%d/%d", w.Reserved.Accelerators, w.Capacity.Accelerators), w.Running, workerSpeed(w))
}

// workerSpeed returns the speed of a worker relative to the median; "-" if it is not known.
func workerSpeed(w oas.Worker) string {
	speed, known := w.Speed.Get()
	switch {
	case !known:
		return "-"
	case w.Slow.Or(false):
		return fmt.Sprintf("%.2f slow", speed)
	case w.Fast.Or(false):
		return fmt.Sprintf("%.2f fast", speed)
	}
	return fmt.Sprintf("%.2f", speed)
}
