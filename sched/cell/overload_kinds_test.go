package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// kind is a kind of jobs in a replay of a mixed load.
type kind struct {
	queue Queue
	// rate is the number of jobs a second for each runner.
	rate float64
	// steps is the mean number of steps, gangs the share of jobs with gangs.
	steps, gangs float64
	step         Step
	// approved is the share of the runners that may run a step.
	approved float64
	// burst multiplies the rate from burstFrom for burstFor.
	burst               float64
	burstFrom, burstFor time.Duration
}

// mixedLoad is a load of about 90% of the cores: short urgent steps, wide patient ones,
// and wide gangs, each with a burst.
func mixedLoad() []kind {
	const runners = 350
	size := func(cpu, mb int64) model.Resources { return model.Resources{MilliCPU: cpu, MemoryMB: mb} }
	return []kind{
		{
			queue: Queue{
				Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 3, SlackFactor: 1.5, TargetLatency: 250 * time.Millisecond,
				Advice: &AdvicePolicy{Base: 12 * time.Millisecond, PerRunner: 170 * time.Microsecond, Validity: 1500 * time.Millisecond},
			},
			rate: 110. / runners, steps: 1, gangs: 0.3, approved: 0.7,
			step:  Step{Count: 3, Size: size(5000, 5000), Estimate: 800 * time.Millisecond},
			burst: 2.6, burstFrom: 6 * time.Second, burstFor: 5 * time.Second,
		},
		{
			queue: Queue{
				Name: "patient", Pool: "pool", Priority: 2, MaxAttempts: 3, SlackFactor: 4, TargetLatency: 3 * time.Second,
				Advice: &AdvicePolicy{Base: 170 * time.Millisecond, PerRunner: 2300 * time.Microsecond, Validity: 1500 * time.Millisecond},
			},
			rate: 7.9 / runners, steps: 1.5, approved: 0.45,
			step:  Step{Count: 25, Size: size(3500, 6000), Estimate: 3400 * time.Millisecond},
			burst: 2.4, burstFrom: 9 * time.Second, burstFor: 6 * time.Second,
		},
		{
			queue: Queue{
				Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 3, SlackFactor: 2.2, TargetLatency: time.Second,
				Advice: &AdvicePolicy{Base: 700 * time.Millisecond, PerRunner: 10 * time.Millisecond, Validity: 1500 * time.Millisecond},
			},
			rate: 3.8 / runners, steps: 1.2, gangs: 1, approved: 0.3,
			step:  Step{Count: 20, Size: size(9000, 16000), Estimate: 6200 * time.Millisecond},
			burst: 2.2, burstFrom: 12 * time.Second, burstFor: 5 * time.Second,
		},
	}
}
