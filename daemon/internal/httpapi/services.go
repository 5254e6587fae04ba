package httpapi

import (
	"context"

	"rhubarbstall.example/daemon/internal/jobs"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/router"
	"rhubarbstall.example/daemon/internal/settingsync"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/settings"
)

// RequestService sends requests to upstreams.
type RequestService interface {
	Send(ctx context.Context, req router.Request) (router.Answer, error)
	Upstreams() []router.UpstreamStatus
	Queues() []router.QueueStatus
	// Ready reports whether requests can be dispatched or forwarded.
	Ready() bool
}

// JobService runs jobs on workers.
type JobService interface {
	Submit(ctx context.Context, spec jobs.Spec) (jobs.Job, error)
	Get(ctx context.Context, id string) (jobs.Job, error)
	List(ctx context.Context, f jobs.Filter) ([]jobs.Job, string, error)
	Cancel(ctx context.Context, id string) (jobs.Job, error)
	Why(ctx context.Context, id string) (model.Explanation, error)
	Workers(ctx context.Context) ([]model.WorkerView, error)
	DrainWorker(ctx context.Context, id string, enabled bool) (model.WorkerView, error)
	Queues(ctx context.Context) ([]model.QueueStat, error)
}

// SettingsService reads and changes the settings.
type SettingsService interface {
	Raw() ([]byte, uint64, bool)
	Current() (*settings.Document, uint64, bool)
	Apply(ctx context.Context, change settingsync.Change) (settingsync.Result, error)
	History(ctx context.Context) ([]settingsync.HistoryEntry, error)
}

// Services holds the services that the handlers call.
type Services struct {
	Requests RequestService
	Jobs     JobService
	Settings SettingsService
	Members  membership.View
}
