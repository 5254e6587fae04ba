package health

import "time"

const (
	// failureThreshold is the number of distinct jobs that must fail on a worker before
	// it is quarantined, and of distinct workers on which a job must fail before it is
	// parked. With 2, two faulty jobs would quarantine a healthy worker.
	failureThreshold = 3
	// failureWindow is how long a failure counts towards failureThreshold.
	failureWindow = 10 * time.Minute
	// firstProbeDelay is the time until the first probe. The delay doubles with each
	// failed probe, up to maxProbeDelay.
	firstProbeDelay = time.Minute
	maxProbeDelay   = time.Hour
	// outageWindow is the time within which failures of a rack or zone are counted as
	// one outage.
	outageWindow = 30 * time.Second
	// maxQuarantinedPercent limits the share of a zone's workers in quarantine, so that
	// most of the zone stays in use whatever fails. One worker may always be in
	// quarantine.
	maxQuarantinedPercent = 20
)
