package main

import (
	"context"
	"fmt"
	"sync"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/check"
)

// batchJobs is the number of small batch jobs.
const batchJobs = 12

// jobs submits all jobs and waits until they have ended. It cancels the service once
// all other jobs have ended.
func (d *driver) jobs(ctx context.Context) {
	var batch sync.WaitGroup
	for n := range batchJobs {
		batch.Go(func() { d.finish(ctx, "batch", job("plan", oas.JobTypeBatch, fmt.Sprintf("batch-%d", n), n, 2, 1500)) })
	}
	batch.Go(func() { d.finish(ctx, "array", job("plan", oas.JobTypeBatch, "array", 0, 200, 300)) })
	batch.Go(func() { d.finish(ctx, "gang", job("plan", oas.JobTypeGang, "gang", 1, 6, 2000)) })
	service, err := d.caller.SubmitUntilAcked(ctx, job("site", oas.JobTypeService, "service", 0, 3, 0))
	if err == nil {
		_, err = d.caller.AwaitJob(ctx, service.ID, func(j *oas.Job) bool { return j.Counts.Running == 3 })
	}
	batch.Wait()
	if err == nil {
		// All tasks of the service must run although an entry VM was killed.
		_, err = d.caller.AwaitJob(ctx, service.ID, func(j *oas.Job) bool { return j.Counts.Running == 3 })
	}
	if err == nil {
		err = d.caller.Cancel(ctx, service.ID)
	}
	if err == nil {
		_, err = d.caller.AwaitJob(ctx, service.ID, func(j *oas.Job) bool { return j.State == oas.JobStateCancelled })
	}
	d.results.job("service", err)
}

// finish submits a job, waits until it has ended, and adds the result to a row of
// the printed table. A job that did not succeed counts as failed.
func (d *driver) finish(ctx context.Context, row string, spec *oas.JobSpec) {
	stored, err := d.caller.SubmitUntilAcked(ctx, spec)
	if err == nil {
		stored, err = d.caller.AwaitJob(ctx, stored.ID, func(j *oas.Job) bool { return check.Finished(string(j.State)) })
	}
	if err == nil && stored.State != oas.JobStateSucceeded {
		err = fmt.Errorf("job %s ended in state %s: %s", stored.ID, stored.State, stored.Message.Or(""))
	}
	d.results.job(row, err)
}

func job(kind string, t oas.JobType, key string, n, tasks int, runMillis int64) *oas.JobSpec {
	return &oas.JobSpec{
		Kind: kind, Department: department(n), Type: oas.NewOptJobType(t), Tasks: oas.NewOptInt(tasks),
		Size: oas.Size{MilliCPU: 1000, MemoryMB: 2048}, RunMs: oas.NewOptInt64(runMillis),
		IdempotencyKey: oas.NewOptString(key),
	}
}
