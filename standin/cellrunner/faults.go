package cellrunner

// Faults holds the rates of simulated faults, each from 0 to 1.
type Faults struct {
	// LostResponseRate is the share of orders that are executed but not answered.
	LostResponseRate float64
	// DelayRate is the share of calls that are not answered and are executed minCallDelay to MaxCallDelay
	// later, by whichever incarnation the runner has then.
	DelayRate float64
	// RefusedStarts makes an incarnation execute late starts that one before it would have refused, also if they are
	// of a scheduler that was lost while it waited for the answer.
	RefusedStarts bool
	// RunFailureRate is the share of runs that fail.
	RunFailureRate float64
}
