package jobs

import (
	"context"

	"rhubarbstall.example/daemon/internal/rendezvous"
	"rhubarbstall.example/sched/model"

	"rhubarbstall.example/api/codes"
)

// Submit stores a job and returns it. If a job with the same idempotency key is
// already stored, Submit returns that job, or an error with codes.KeyReused if its spec
// differs.
func (s *Service) Submit(ctx context.Context, spec Spec) (Job, error) {
	spec.normalize()
	if err := spec.validate(); err != nil {
		return Job{}, err
	}
	p, _ := s.policies()
	if p == nil {
		return Job{}, codes.NotReady.With("this entry VM has no settings yet", retrySoon)
	}
	if _, ok := p.Policy(spec.Department, spec.Kind); !ok {
		return Job{}, unknownKind(p, spec.Department, spec.Kind)
	}
	if s.kindForbidsRepeat(&spec) {
		spec.NoRepeat = true
	}
	zones, err := s.candidateZones(&spec)
	if err != nil {
		return Job{}, err
	}
	for i, zone := range zones {
		args := submitArgs{ID: newID(zone, spec.Department, spec.IdempotencyKey), Spec: spec}
		job, err := forward(ctx, s, zone, methodSubmit, &args, s.submitLocal)
		if err == nil {
			return *job, nil
		}
		c := codes.Of(err)
		if i == len(zones)-1 || c != codes.NoZoneScheduler && c != codes.ZoneUnreachable {
			return Job{}, err
		}
	}
	return Job{}, noScheduler(s.cfg.Zone)
}

// kindForbidsRepeat reports whether the settings of the kind require its tasks to
// run at most once. Submit stores the flag with the job, so that a later change of
// the settings does not make its tasks repeatable.
func (s *Service) kindForbidsRepeat(spec *Spec) bool {
	doc, _, ok := s.cfg.Settings.Current()
	if !ok {
		return false
	}
	policy, ok := doc.Resolve(spec.Department, spec.Kind)
	return ok && policy.NoRepeat
}

func unknownKind(p model.Policies, department, kind string) error {
	for _, d := range p.Departments() {
		if d.Path == department {
			return codes.UnknownKind.Errorf("kind %q is not defined for department %q", kind, department)
		}
	}
	return codes.UnknownDepartment.Errorf("department %q is not in the settings", department)
}

// candidateZones returns the zones that may become the home zone of the job, in
// order of preference. A job with an idempotency key has only one, so that a second
// submission with the key finds the first job.
func (s *Service) candidateZones(spec *Spec) ([]string, error) {
	doc, _, ok := s.cfg.Settings.Current()
	if !ok {
		return nil, codes.NotReady.With("this entry VM has no settings yet", retrySoon)
	}
	known := make(map[string]bool)
	for _, z := range doc.Zones {
		known[z] = true
	}
	switch {
	case spec.AvailabilityZone != "":
		if !known[spec.AvailabilityZone] && spec.AvailabilityZone != s.cfg.Zone {
			return nil, codes.InvalidValue.Errorf("availability zone %q is not in the settings", spec.AvailabilityZone)
		}
		return []string{spec.AvailabilityZone}, nil
	case spec.IdempotencyKey != "" && len(doc.Zones) > 0:
		return []string{rendezvous.Owner(keyHash(spec.Department, spec.IdempotencyKey), doc.Zones)}, nil
	case spec.IdempotencyKey != "":
		return []string{s.cfg.Zone}, nil
	}
	zones := []string{s.cfg.Zone}
	for _, z := range rendezvous.Rank(s.cfg.SelfID, doc.Zones) {
		if z != s.cfg.Zone {
			zones = append(zones, z)
		}
	}
	return zones, nil
}

// Get returns a job.
func (s *Service) Get(ctx context.Context, id string) (Job, error) {
	job, err := forward(ctx, s, zoneOf(id), methodGet, &idArgs{id}, s.getLocal)
	return deref(job, err)
}

// List returns a page of the jobs of this zone in order of ID, and the value of
// Filter.After for the next page. The value is empty on the last page.
func (s *Service) List(ctx context.Context, f Filter) ([]Job, string, error) {
	page, err := forward(ctx, s, s.cfg.Zone, methodList, &f, s.listLocal)
	if err != nil {
		return nil, "", err
	}
	return page.Jobs, page.Next, nil
}

// Cancel cancels a job and returns it. A job that has finished stays as it is. After
// Cancel returns without an error, none of its tasks starts.
func (s *Service) Cancel(ctx context.Context, id string) (Job, error) {
	job, err := forward(ctx, s, zoneOf(id), methodCancel, &idArgs{id}, s.cancelLocal)
	return deref(job, err)
}

// Why explains what a job waits for.
func (s *Service) Why(ctx context.Context, id string) (model.Explanation, error) {
	e, err := forward(ctx, s, zoneOf(id), methodWhy, &idArgs{id}, s.whyLocal)
	return deref(e, err)
}

// Workers returns the workers of this zone.
func (s *Service) Workers(ctx context.Context) ([]model.WorkerView, error) {
	v, err := forward(ctx, s, s.cfg.Zone, methodWorkers, &noArgs{}, s.workersLocal)
	return deref(v, err)
}

// DrainWorker stops new starts on a worker of this zone, or allows them again.
// It returns after the change is stored.
func (s *Service) DrainWorker(ctx context.Context, id string, enabled bool) (model.WorkerView, error) {
	v, err := forward(ctx, s, s.cfg.Zone, methodDrain, &drainArgs{id, enabled}, s.drainLocal)
	return deref(v, err)
}

// Queues returns statistics of the waiting tasks of this zone.
func (s *Service) Queues(ctx context.Context) ([]model.QueueStat, error) {
	v, err := forward(ctx, s, s.cfg.Zone, methodQueues, &noArgs{}, s.queuesLocal)
	return deref(v, err)
}

func deref[T any](v *T, err error) (T, error) {
	if err != nil {
		var zero T
		return zero, err
	}
	return *v, nil
}
