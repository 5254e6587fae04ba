package settings

// Limits bounds the resource use of the whole deployment and of each entry VM. A
// zero field stands for its default.
type Limits struct {
	// BodyBytes is the largest size of a request body; default 1 MiB.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// PlatformWritesPerSecond is the maximum rate of platform writes of all entry VMs
	// together; default 200.
	PlatformWritesPerSecond int `json:"platform_writes_per_s,omitempty"`
	// PlatformReadsPerSecond is the maximum rate of platform reads of all entry VMs
	// together; default 1000.
	PlatformReadsPerSecond int `json:"platform_reads_per_s,omitempty"`
	// RetryPercent is the retry budget as a percentage of the requests; default 10.
	RetryPercent int `json:"retry_percent,omitempty"`
	// DrainMillis is the maximum duration of a graceful shutdown; default 30000.
	DrainMillis int64 `json:"drain_ms,omitempty"`
	// TaskLeaseMillis is the duration of a task lease on a worker; default 60000.
	TaskLeaseMillis int64 `json:"task_lease_ms,omitempty"`
	// OwnerLeaseMillis is the duration of the owner lease that a zone scheduler
	// holds on a worker; default 3000.
	OwnerLeaseMillis int64 `json:"owner_lease_ms,omitempty"`
	// JobRetentionMillis is the time that a finished job is kept; default 86400000.
	JobRetentionMillis int64 `json:"job_retention_ms,omitempty"`
	// KeyRetentionMillis is the time that the at-most-once record of an idempotency key is
	// kept; default 900000.
	KeyRetentionMillis int64 `json:"key_retention_ms,omitempty"`
}
