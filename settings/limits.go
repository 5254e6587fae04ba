package settings

// Limits bounds what the whole deployment and one entry VM use. A zero field
// has its default.
type Limits struct {
	// BodyBytes is the largest request body; default 1 MiB.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// PlatformWritesPerSecond is shared by all entry VMs; default 200.
	PlatformWritesPerSecond int `json:"platform_writes_per_s,omitempty"`
	// PlatformReadsPerSecond is shared by all entry VMs; default 1000.
	PlatformReadsPerSecond int `json:"platform_reads_per_s,omitempty"`
	// RetryPercent bounds retries as a share of requests; default 10.
	RetryPercent int `json:"retry_percent,omitempty"`
	// DrainMillis bounds a graceful shutdown; default 30000.
	DrainMillis int64 `json:"drain_ms,omitempty"`
	// TaskLeaseMillis is the task lease on workers; default 60000.
	TaskLeaseMillis int64 `json:"task_lease_ms,omitempty"`
	// OwnerLeaseMillis is the lease of the zone scheduler; default 3000.
	OwnerLeaseMillis int64 `json:"owner_lease_ms,omitempty"`
	// JobRetentionMillis is how long a finished job is kept; default 86400000.
	JobRetentionMillis int64 `json:"job_retention_ms,omitempty"`
	// KeyRetentionMillis is how long an at-most-once record is kept; default 900000.
	KeyRetentionMillis int64 `json:"key_retention_ms,omitempty"`
}
