package sendwindow

import "time"

// roundTrips estimates the mean and the deviation of answer times, as TCP does (RFC 6298).
type roundTrips struct {
	mean, deviation time.Duration
}

const (
	// meanWeight and deviationWeight are the divisors of a new sample's weight.
	meanWeight      = 8
	deviationWeight = 4
	// deviations is the number of deviations above the mean that a timeout allows for.
	deviations = 4
)

func (r *roundTrips) add(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	off := took - r.mean
	r.mean += off / meanWeight
	r.deviation += (max(off, -off) - r.deviation) / deviationWeight
}

// bound returns the time within which almost all answers arrive; 0 if none has arrived yet.
func (r *roundTrips) bound() time.Duration { return r.mean + deviations*r.deviation }
