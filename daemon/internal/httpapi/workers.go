package httpapi

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/sched/model"
)

// ListWorkers implements oas.Handler.
func (h *handler) ListWorkers(ctx context.Context) ([]oas.Worker, error) {
	list, err := h.services.Jobs.Workers(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]oas.Worker, 0, len(list))
	for _, w := range list {
		out = append(out, workerToAPI(w))
	}
	return out, nil
}

// DrainWorker implements oas.Handler.
func (h *handler) DrainWorker(ctx context.Context, in *oas.Drain, params oas.DrainWorkerParams) (*oas.Worker, error) {
	w, err := h.services.Jobs.DrainWorker(ctx, params.ID, in.Enabled)
	if err != nil {
		return nil, err
	}
	out := workerToAPI(w)
	return &out, nil
}

// ListQueues implements oas.Handler.
func (h *handler) ListQueues(ctx context.Context) ([]oas.Queue, error) {
	out := []oas.Queue{}
	for _, q := range h.services.Requests.Queues() {
		out = append(out, oas.Queue{
			Name:         oas.QueueNameRequests,
			Kind:         q.Kind,
			Department:   oas.NewOptString(q.Department),
			Waiting:      q.Waiting,
			OldestWaitMs: oas.NewOptFloat64(float64(q.OldestWait.Milliseconds())),
			Limit:        oas.NewOptInt(q.MaxWaiting),
			Refused:      oas.NewOptInt64(q.Refused),
		})
	}
	tasks, err := h.services.Jobs.Queues(ctx)
	if err != nil {
		return nil, err
	}
	for _, q := range tasks {
		out = append(out, oas.Queue{
			Name:         oas.QueueNameTasks,
			Kind:         q.Kind,
			Department:   oas.NewOptString(q.Department),
			Waiting:      q.Waiting,
			OldestWaitMs: oas.NewOptFloat64(float64(q.Oldest.Milliseconds())),
		})
	}
	return out, nil
}

func workerToAPI(w model.WorkerView) oas.Worker {
	return oas.Worker{
		ID:               w.ID,
		AvailabilityZone: w.Zone,
		Rack:             w.Rack,
		State:            oas.WorkerState(w.State.String()),
		Capacity:         resourcesToAPI(w.Capacity),
		Reserved:         resourcesToAPI(w.Reserved),
		Running:          w.Running,
	}
}

func resourcesToAPI(r model.Resources) oas.Amount {
	return oas.Amount{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
