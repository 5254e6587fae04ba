package cell

import "time"

// Queue is a kind of work with its policy.
type Queue struct {
	Name string
	// Pool names the runners that run its tasks.
	Pool string
	// Priority orders queues; 0 is the most urgent and may preempt others.
	Priority int
	// MaxAttempts is the number of failed runs after which a job fails.
	MaxAttempts int
	// SlackFactor times the longest chain of work plus TargetLatency is the time
	// in which callers expect a job.
	SlackFactor   float64
	TargetLatency time.Duration
	// Advice is nil if every runner of the pool may run the queue's steps.
	Advice *AdvicePolicy
}

// AdvicePolicy describes the cost of asking which runners may run a step.
type AdvicePolicy struct {
	Base      time.Duration
	PerRunner time.Duration
	// Validity is how long a ticket can be used.
	Validity time.Duration
}

// CallTime returns how long one call that names n runners takes.
func (a AdvicePolicy) CallTime(n int) time.Duration {
	return a.Base + time.Duration(n)*a.PerRunner
}
