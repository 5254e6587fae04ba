package health

import "time"

const (
	// badAfter is the number of distinct jobs that must fail on a worker, and of
	// distinct workers that a job must fail on, before either is held back. Two
	// would blame a good worker for two bad jobs.
	badAfter = 3
	// window is how long a failure counts.
	window = 10 * time.Minute
	// firstDelay is the time until the first probe; it doubles up to maxDelay.
	firstDelay = time.Minute
	maxDelay   = time.Hour
	// eventWindow groups failures of a rack or zone into one event.
	eventWindow = 30 * time.Second
	// maxQuarantinedPercent keeps most of the zone in use whatever fails.
	maxQuarantinedPercent = 20
)
