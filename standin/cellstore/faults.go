package cellstore

import "time"

// Faults holds the rates of simulated faults, each from 0 to 1, and an additional latency.
type Faults struct {
	// LostResponseRate is the share of writes that take effect but are not answered.
	LostResponseRate float64
	// DelayedWriteRate is the share of writes that are not answered and take effect 1 to 6 s later.
	DelayedWriteRate float64
	// NoResponseRate is the share of calls that have no effect and are not answered.
	NoResponseRate float64
	// UnavailableRate is the share of calls that are refused with status 503.
	UnavailableRate float64
	// ExtraLatency is added to memnet.Latency for each call.
	ExtraLatency time.Duration
}
