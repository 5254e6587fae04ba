package httpapi

import (
	"context"
	"net/http"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/daemon/internal/cellsched"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
)

// CellService answers the operators' queries to an entry VM of a cell.
type CellService interface {
	View(ctx context.Context, id string) (cell.JobView, error)
	RunnerViews(ctx context.Context) ([]cell.RunnerView, error)
	InterferenceViews(ctx context.Context) ([]cell.InterferenceView, error)
	VMViews(ctx context.Context) []cellsched.VMView
}

// cellHandler implements the part of the API that a cell offers to operators.
type cellHandler struct {
	oas.UnimplementedHandler
	service CellService
	// config returns the operator's configuration in force; false if there is none.
	config func() (platform.ConfigWithoutKeys, bool)
	zone   string
}

// NewCellHandler returns the HTTP handler with the operators' API of an entry VM of a
// cell in zone. It serves metrics at /metrics.
func NewCellHandler(service CellService, config func() (platform.ConfigWithoutKeys, bool), zone string, metrics http.Handler) (http.Handler, error) {
	api, err := oas.NewServer(&cellHandler{service: service, config: config, zone: zone}, oas.WithErrorHandler(writeProblem), oas.WithNotFound(handleNotFound))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", withCallerTrace(api))
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("/", handleNotFound)
	return mux, nil
}

// NewError implements oas.Handler.
func (h *cellHandler) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	return problemFromError(err)
}

// ExplainJob implements oas.Handler.
func (h *cellHandler) ExplainJob(ctx context.Context, params oas.ExplainJobParams) (*oas.Why, error) {
	v, err := h.service.View(ctx, params.ID)
	if err != nil {
		return nil, err
	}
	why := explanationToAPI(params.ID, v.Why)
	why.Account = accountToAPI(v.ClientAccount)
	return why, nil
}

// GetJob implements oas.Handler.
func (h *cellHandler) GetJob(ctx context.Context, params oas.GetJobParams) (*oas.Job, error) {
	v, err := h.service.View(ctx, params.ID)
	if err != nil {
		return nil, err
	}
	out := &oas.Job{
		ID: v.ID, Kind: v.Queue, Type: oas.JobTypeBatch, State: apiJobStates[v.State], Tasks: v.Tasks, SubmittedAt: v.Accepted,
		Counts: oas.TaskCounts{Succeeded: v.Done, Running: v.Running, Pending: v.Tasks - v.Done - v.Running},
	}
	out.Account = accountToAPI(v.ClientAccount)
	switch {
	case v.LongRunning:
		out.Type = oas.JobTypeService
	case v.Gang:
		out.Type = oas.JobTypeGang
	}
	return out, nil
}

func accountToAPI(account string) oas.OptString {
	return oas.OptString{Value: account, Set: account != ""}
}

var apiJobStates = map[cell.JobState]oas.JobState{
	cell.Queued: oas.JobStatePending, cell.Running: oas.JobStateRunning, cell.Completed: oas.JobStateSucceeded,
	cell.Failed: oas.JobStateFailed, cell.Cancelled: oas.JobStateCancelled,
}

// ListWorkers implements oas.Handler.
func (h *cellHandler) ListWorkers(ctx context.Context) ([]oas.Worker, error) {
	runners, err := h.service.RunnerViews(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]oas.Worker, len(runners))
	for i, r := range runners {
		out[i] = oas.Worker{
			ID: r.ID, AvailabilityZone: r.Zone, Rack: r.Rack, State: oas.WorkerState(r.State),
			Capacity: cellResourcesToAPI(r.Capacity), Reserved: cellResourcesToAPI(r.Used), Running: r.Runs,
		}
		if r.Speed > 0 {
			out[i].Speed, out[i].Slow, out[i].Fast = oas.NewOptFloat64(r.Speed), oas.NewOptBool(r.Slow), oas.NewOptBool(r.Fast)
		}
	}
	return out, nil
}

func cellResourcesToAPI(r model.Resources) oas.Amount {
	return oas.Amount{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}

// ListVMs implements oas.Handler. It reports a VM that does not reach the store as
// suspect. It sets the zone only for the VM that answers, since the zones of the other
// VMs are not known to it.
func (h *cellHandler) ListVMs(ctx context.Context) ([]oas.VM, error) {
	var out []oas.VM
	for _, v := range h.service.VMViews(ctx) {
		vm := oas.VM{ID: v.VM, State: oas.VMStateAlive, ZoneScheduler: oas.NewOptBool(v.Scheduler), Self: oas.NewOptBool(v.Self), Relay: oas.NewOptBool(v.Relay)}
		if v.StoreUnreachable {
			vm.State = oas.VMStateSuspect
		}
		if v.Self {
			vm.AvailabilityZone = h.zone
		}
		out = append(out, vm)
	}
	return out, nil
}
