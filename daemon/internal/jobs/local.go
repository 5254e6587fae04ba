package jobs

import (
	"context"
	"errors"
	"slices"
	"strings"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/sched/model"
)

// submitLocal stores a job. This entry VM is the zone scheduler of the home zone.
func (s *Service) submitLocal(ctx context.Context, args *submitArgs) (*Job, error) {
	job, err := s.submitAndWait(ctx, args)
	countResult(ctx, s.metrics.submitted, err)
	return job, withCode(err)
}

func (s *Service) submitAndWait(ctx context.Context, args *submitArgs) (*Job, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	if err := t.dispatcher.CheckFits(args.Spec.Type, args.Spec.Tasks, model.Resources(args.Spec.Size)); err != nil {
		return nil, neverFits(err)
	}
	type result struct {
		r   *record
		err error
	}
	stored := make(chan result, 1)
	known, err := t.store.submit(args.ID, args.Spec, func(r *record, err error) {
		if err == nil {
			s.enqueueStored(t, r)
		}
		stored <- result{r, err}
	})
	if err != nil {
		return nil, err
	}
	if known != nil {
		return t.view(known), nil
	}
	select {
	case res := <-stored:
		if res.err != nil {
			return nil, res.err
		}
		return t.view(res.r), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func neverFits(err error) error {
	var e *model.NeverFitsError
	if errors.As(err, &e) {
		return codes.NeverFits.Errorf("%w", e)
	}
	return err
}

func (t *term) view(r *record) *Job {
	active := t.dispatcher.ActiveAttempts(r.ID)
	t.store.mu.Lock()
	j := r.view(active)
	failed := r.Failed.n > 0 || r.attemptFailed
	t.store.mu.Unlock()
	if j.State == Pending && failed {
		// The engine also parks a job when a task fails whose attempt has already ended. No
		// verdict reports that, so ask the engine.
		if e, ok := t.dispatcher.Explain(r.ID); ok && e.Reason == string(Parked) {
			j.State = Parked
		}
	}
	return &j
}

func (t *term) find(id string) (*record, error) {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	r, ok := t.store.records[id]
	if !ok || !r.persisted {
		return nil, codes.NotFound.Errorf("no job %s", id)
	}
	return r, nil
}

func (s *Service) getLocal(_ context.Context, args *idArgs) (*Job, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	r, err := t.find(args.ID)
	if err != nil {
		return nil, err
	}
	return t.view(r), nil
}

const (
	defaultJobsPerPage = 100
	maxJobsPerPage     = 1000
)

func (s *Service) listLocal(_ context.Context, f *Filter) (*jobPage, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	limit := f.Limit
	if limit <= 0 {
		limit = defaultJobsPerPage
	}
	limit = min(limit, maxJobsPerPage)
	t.store.mu.Lock()
	var list []*record
	for id, r := range t.store.records {
		if r.persisted && id > f.After && (f.Department == "" || r.Spec.Department == f.Department) {
			list = append(list, r)
		}
	}
	t.store.mu.Unlock()
	slices.SortFunc(list, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
	page := &jobPage{Jobs: []Job{}}
	for _, r := range list {
		j := t.view(r)
		if f.State != "" && j.State != f.State {
			continue
		}
		if len(page.Jobs) == limit {
			page.Next = page.Jobs[limit-1].ID
			break
		}
		page.Jobs = append(page.Jobs, *j)
	}
	return page, nil
}

func (s *Service) cancelLocal(ctx context.Context, args *idArgs) (*Job, error) {
	job, err := s.cancelAndWait(ctx, args.ID)
	countResult(ctx, s.metrics.cancelled, err)
	return job, withCode(err)
}

func (s *Service) cancelAndWait(ctx context.Context, id string) (*Job, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	stored := make(chan error, 1)
	waits, err := t.store.cancel(id, func(err error) {
		if err == nil {
			// The engine must stop the job even if the caller no longer waits.
			t.dispatcher.StopJob(id)
		}
		stored <- err
	})
	if err != nil {
		return nil, err
	}
	if waits {
		select {
		case err = <-stored:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return nil, err
		}
	}
	r, err := t.find(id)
	if err != nil {
		return nil, err
	}
	if t.store.isCancelled(r) {
		if err := t.dispatcher.WaitStartsSettled(ctx, id); err != nil {
			return nil, err
		}
	}
	return t.view(r), nil
}

func (s *Service) whyLocal(_ context.Context, args *idArgs) (*model.Explanation, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	r, err := t.find(args.ID)
	if err != nil {
		return nil, err
	}
	if e, ok := t.dispatcher.Explain(args.ID); ok {
		return &e, nil
	}
	if j := t.view(r); j.State != Pending && j.State != Running {
		return &model.Explanation{Reason: string(j.State), Sentence: "The job is " + string(j.State) + "."}, nil
	}
	return &model.Explanation{
		Reason:   "recovery",
		Sentence: "A new zone scheduler waits for workers that may still run tasks of the job.",
	}, nil
}

func (s *Service) workersLocal(context.Context, *noArgs) (*[]model.WorkerView, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	v := t.dispatcher.Workers()
	return &v, nil
}

func (s *Service) drainLocal(ctx context.Context, args *drainArgs) (*model.WorkerView, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	if !slices.Contains(t.campaign.Workers(), args.ID) {
		return nil, codes.NotFound.Errorf("no worker %s in availability zone %s", args.ID, s.cfg.Zone)
	}
	if err := s.storeDrained(ctx, args.ID, args.Enabled); err != nil {
		return nil, withCode(err)
	}
	v, ok := t.dispatcher.Drain(args.ID, args.Enabled)
	if !ok {
		return nil, codes.NotFound.Errorf("no worker %s in availability zone %s", args.ID, s.cfg.Zone)
	}
	return &v, nil
}

func (s *Service) queuesLocal(context.Context, *noArgs) (*[]model.QueueStat, error) {
	t, ok := s.currentTerm()
	if !ok {
		return nil, noScheduler(s.cfg.Zone)
	}
	v := t.dispatcher.Queues()
	return &v, nil
}

func (js *jobStore) isCancelled(r *record) bool {
	js.mu.Lock()
	defer js.mu.Unlock()
	return r.cancelStored
}
