package platform

// LeaseRequest requests a lease with a time to live in milliseconds.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// Lease is a granted or renewed lease. Keys bound to it are deleted when it expires.
type Lease struct {
	ID        string `json:"id"`
	TTLMillis int64  `json:"ttl_ms"`
}
