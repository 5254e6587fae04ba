package cellrunner

// Faults holds the rates of simulated faults, each from 0 to 1.
type Faults struct {
	// LostResponseRate is the share of orders that are executed but not answered.
	LostResponseRate float64
	// DelayRate is the share of start and stop orders that are not answered and are executed
	// 2 to 6 s later.
	DelayRate float64
	// RunFailureRate is the share of runs that fail.
	RunFailureRate float64
}
