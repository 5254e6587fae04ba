package settings

import "rhubarbstall.example/api/codes"

// maxQuota bounds each component so that sums over a tree cannot overflow.
const maxQuota = 1 << 50

// quotaResource describes a resource of a quota.
type quotaResource struct {
	name   string
	amount func(*Quota) *int64
}

var quotaResources = []quotaResource{
	{"milli_cpu", func(q *Quota) *int64 { return &q.MilliCPU }},
	{"memory_mb", func(q *Quota) *int64 { return &q.MemoryMB }},
	{"accelerators", func(q *Quota) *int64 { return &q.Accelerators }},
}

// check compares a quota with bound, the nearest quota of the ancestors, and returns
// the bound for the children. A zero component sets no limit, so it keeps the
// ancestor's bound.
func (q *Quota) check(problems *problemList, path string, bound Quota) Quota {
	for _, r := range quotaResources {
		v, limit := *r.amount(q), r.amount(&bound)
		switch {
		case v < 0 || v > maxQuota:
			problems.add(codes.SettingsInvalid, path+"/"+r.name, "%d is not between 0 and %d", v, int64(maxQuota))
		case *limit > 0 && v > *limit:
			problems.add(codes.SettingsWidens, path+"/"+r.name, "%d widens the parent's limit of %d", v, *limit)
		case v > 0:
			*limit = v
		}
	}
	return bound
}
