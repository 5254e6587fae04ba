package settings

import "rhubarbstall.example/api/codes"

// limitRule holds the range and the default of a field of Limits.
type limitRule struct {
	name                   string
	get                    func(*Limits) int64
	set                    func(*Limits, int64)
	defaultValue, min, max int64
}

const (
	minuteMillis = 60 * 1000
	hourMillis   = 60 * minuteMillis
	dayMillis    = 24 * hourMillis
)

var limitRules = []limitRule{
	{"body_bytes", func(l *Limits) int64 { return l.BodyBytes }, func(l *Limits, v int64) { l.BodyBytes = v }, 1 << 20, 1 << 10, 16 << 20},
	{"platform_writes_per_s", func(l *Limits) int64 { return int64(l.PlatformWritesPerSecond) }, func(l *Limits, v int64) { l.PlatformWritesPerSecond = int(v) }, 200, 1, 100_000},
	{"platform_reads_per_s", func(l *Limits) int64 { return int64(l.PlatformReadsPerSecond) }, func(l *Limits, v int64) { l.PlatformReadsPerSecond = int(v) }, 1000, 1, 100_000},
	{"retry_percent", func(l *Limits) int64 { return int64(l.RetryPercent) }, func(l *Limits, v int64) { l.RetryPercent = int(v) }, 10, 1, 100},
	{"drain_ms", func(l *Limits) int64 { return l.DrainMillis }, func(l *Limits, v int64) { l.DrainMillis = v }, 30_000, 100, 10 * minuteMillis},
	{"task_lease_ms", func(l *Limits) int64 { return l.TaskLeaseMillis }, func(l *Limits, v int64) { l.TaskLeaseMillis = v }, 60_000, 5000, 10 * minuteMillis},
	// A restarted worker waits for the longest owner lease, 10 s, before it grants one.
	{"owner_lease_ms", func(l *Limits) int64 { return l.OwnerLeaseMillis }, func(l *Limits, v int64) { l.OwnerLeaseMillis = v }, 3000, 1000, 10_000},
	{"job_retention_ms", func(l *Limits) int64 { return l.JobRetentionMillis }, func(l *Limits, v int64) { l.JobRetentionMillis = v }, dayMillis, minuteMillis, 30 * dayMillis},
	{"key_retention_ms", func(l *Limits) int64 { return l.KeyRetentionMillis }, func(l *Limits, v int64) { l.KeyRetentionMillis = v }, 15 * minuteMillis, minuteMillis, dayMillis},
}

// WithDefaults returns the limits with every zero field set to its default.
func (l Limits) WithDefaults() Limits {
	for _, rule := range limitRules {
		if rule.get(&l) == 0 {
			rule.set(&l, rule.defaultValue)
		}
	}
	return l
}

// check reports every field that is outside its range.
func (l Limits) check(problems *problemList) {
	for _, rule := range limitRules {
		if v := rule.get(&l); v < rule.min || v > rule.max {
			problems.add(codes.SettingsInvalid, "limits/"+rule.name, "%d is not between %d and %d", v, rule.min, rule.max)
		}
	}
	if l.TaskLeaseMillis < l.OwnerLeaseMillis {
		problems.add(codes.SettingsInvalid, "limits/task_lease_ms", "%d is below owner_lease_ms (%d)", l.TaskLeaseMillis, l.OwnerLeaseMillis)
	}
}
