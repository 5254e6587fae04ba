package quorum

import "time"

// FixedMargin is the part of a lease that covers a pause of the process between
// reading the clock and sending a message.
const FixedMargin = 200 * time.Millisecond

// clockDriftDivisor yields a tenth of a duration: the largest tolerated difference
// between the rates of two clocks.
const clockDriftDivisor = 10

// UsableLease returns how long a candidate may rely on a granted lease, counted
// from the time just before it sent the request. Zero means that the lease is too
// short to be used.
func UsableLease(lease time.Duration) time.Duration {
	return max(0, lease-lease/clockDriftDivisor-FixedMargin)
}

// ExpiryWait returns how long another process has to wait until a lease of the
// given length has certainly expired at the voter that granted it.
func ExpiryWait(lease time.Duration) time.Duration {
	return lease + lease/clockDriftDivisor + FixedMargin
}
