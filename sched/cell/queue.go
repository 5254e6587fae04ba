package cell

import "time"

// Queue is a kind of work with its scheduling policy.
type Queue struct {
	Name string
	// Pool names the runners that run the queue's tasks.
	Pool string
	// Priority orders queues; 0 is the most urgent. Runs are not preempted for work of a
	// more urgent queue.
	Priority int
	// MaxAttempts is the number of failed attempts of a task after which its job fails.
	MaxAttempts int
	// SlackFactor and TargetLatency give the time in which callers expect a job to end: the
	// length of its critical path times SlackFactor, plus TargetLatency.
	SlackFactor   float64
	TargetLatency time.Duration
	// Advice is nil if every runner of the pool may run the queue's steps.
	Advice *AdvicePolicy
}

// AdvicePolicy describes the duration of a call that asks the advisor which runners may run
// a step, and the validity of its answer.
type AdvicePolicy struct {
	Base      time.Duration
	PerRunner time.Duration
	// Validity is how long a ticket can be used.
	Validity time.Duration
}

// CallTime returns how long a call that names n runners takes.
func (a AdvicePolicy) CallTime(n int) time.Duration {
	return a.Base + time.Duration(n)*a.PerRunner
}
