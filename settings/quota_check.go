package settings

import "rhubarbstall.example/api/codes"

// maxQuota bounds each component, so that sums over a tree cannot overflow.
const maxQuota = 1 << 50

// component is one resource of a quota.
type component struct {
	name string
	of   func(*Quota) *int64
}

var components = []component{
	{"milli_cpu", func(q *Quota) *int64 { return &q.MilliCPU }},
	{"memory_mb", func(q *Quota) *int64 { return &q.MemoryMB }},
	{"accelerators", func(q *Quota) *int64 { return &q.Accelerators }},
}

// check compares a quota with the nearest one above and returns the bound for
// the children. A zero component is unlimited in itself, so the bound above holds.
func (q *Quota) check(found *problems, path string, bound Quota) Quota {
	for _, c := range components {
		v, limit := *c.of(q), c.of(&bound)
		switch {
		case v < 0 || v > maxQuota:
			found.add(codes.SettingsInvalid, path+"/"+c.name, "%d is not between 0 and %d", v, int64(maxQuota))
		case *limit > 0 && v > *limit:
			found.add(codes.SettingsWidens, path+"/"+c.name, "%d widens the parent's limit of %d", v, *limit)
		case v > 0:
			*limit = v
		}
	}
	return bound
}
