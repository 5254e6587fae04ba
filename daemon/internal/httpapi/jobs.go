package httpapi

import (
	"context"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/daemon/internal/jobs"
	"rhubarbstall.example/sched/model"
)

// SubmitJob implements oas.Handler.
func (h *handler) SubmitJob(ctx context.Context, in *oas.JobSpec) (*oas.Job, error) {
	spec := jobs.Spec{
		Kind:       in.Kind,
		Department: in.Department,
		Type:       model.JobType(in.Type.Or("")),
		Tasks:      in.Tasks.Or(1),
		Size: jobs.Size{
			MilliCPU:     in.Size.MilliCPU,
			MemoryMB:     in.Size.MemoryMB,
			Accelerators: in.Size.Accelerators.Or(0),
		},
		RunMillis:        in.RunMs.Or(0),
		Payload:          in.Payload,
		Checkpointing:    in.Checkpointing.Or(false),
		NoRepeat:         in.NoRepeat.Or(false),
		IdempotencyKey:   in.IdempotencyKey.Or(""),
		AvailabilityZone: in.AvailabilityZone.Or(""),
	}
	return jobResult(h.services.Jobs.Submit(ctx, spec))
}

// GetJob implements oas.Handler.
func (h *handler) GetJob(ctx context.Context, params oas.GetJobParams) (*oas.Job, error) {
	return jobResult(h.services.Jobs.Get(ctx, params.ID))
}

// CancelJob implements oas.Handler.
func (h *handler) CancelJob(ctx context.Context, params oas.CancelJobParams) (*oas.Job, error) {
	return jobResult(h.services.Jobs.Cancel(ctx, params.ID))
}

// ListJobs implements oas.Handler.
func (h *handler) ListJobs(ctx context.Context, params oas.ListJobsParams) (*oas.JobPage, error) {
	list, next, err := h.services.Jobs.List(ctx, jobs.Filter{
		Department: params.Department.Or(""),
		State:      jobs.State(params.State.Or("")),
		After:      params.After.Or(""),
		Limit:      params.Limit.Or(0),
	})
	if err != nil {
		return nil, err
	}
	page := &oas.JobPage{Jobs: make([]oas.Job, 0, len(list))}
	for _, j := range list {
		page.Jobs = append(page.Jobs, *jobToAPI(j))
	}
	if next != "" {
		page.Next = oas.NewOptString(next)
	}
	return page, nil
}

// ExplainJob implements oas.Handler.
func (h *handler) ExplainJob(ctx context.Context, params oas.ExplainJobParams) (*oas.Why, error) {
	why, err := h.services.Jobs.Why(ctx, params.ID)
	if err != nil {
		return nil, err
	}
	return explanationToAPI(params.ID, why), nil
}

func explanationToAPI(job string, why model.Explanation) *oas.Why {
	out := &oas.Why{Job: job, Sentence: why.Sentence, Reason: why.Reason}
	for _, name := range sortedKeys(why.Rejected) {
		out.Rejected = append(out.Rejected, oas.Rejection{Filter: name, Workers: why.Rejected[name]})
	}
	return out
}

func jobResult(j jobs.Job, err error) (*oas.Job, error) {
	if err != nil {
		return nil, err
	}
	return jobToAPI(j), nil
}

func jobToAPI(j jobs.Job) *oas.Job {
	out := &oas.Job{
		ID:               j.ID,
		Kind:             j.Kind,
		Department:       j.Department,
		Type:             oas.JobType(j.Type),
		State:            oas.JobState(j.State),
		Tasks:            j.Tasks,
		AvailabilityZone: j.AvailabilityZone,
		SubmittedAt:      j.SubmittedAt,
		Counts:           oas.TaskCounts(j.Counts),
	}
	if j.Message != "" {
		out.Message = oas.NewOptString(j.Message)
	}
	return out
}
