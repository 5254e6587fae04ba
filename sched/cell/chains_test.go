package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// layeredJob is a job of small steps of which each in the second half depends on the given number of steps in the first half.
func layeredJob(dependencies int) []Step {
	steps := make([]Step, MaxSteps)
	var first []int
	for i := range steps {
		steps[i] = Step{Count: 1, Size: model.Resources{MilliCPU: 1000, MemoryMB: 1000}, Estimate: 2700 * time.Millisecond}
		if i < dependencies {
			first = append(first, i)
		}
		if i >= MaxSteps/2 {
			steps[i].DependsOn = first
		}
	}
	return steps
}

// layeredJobsCost returns how long the scheduler works on jobs with many steps that come at once to a queue with an advisor, until all of
// them have ended; the shortest of three times, since other tests run beside this one.
func layeredJobsCost(t *testing.T, dependencies int) time.Duration {
	return min(playLayeredJobs(t, dependencies), playLayeredJobs(t, dependencies), playLayeredJobs(t, dependencies))
}

// newLayeredSim returns a cell of 48 runners whose less urgent queue has an advisor that approves all of them.
func newLayeredSim(t *testing.T) *idleSim {
	s := newIdleSim(t, 48, 1)
	s.kinds[1].approvedShare = 1
	s.kinds[1].queue.Advice = &AdvicePolicy{Base: 66 * time.Millisecond, PerRunner: 940 * time.Microsecond, Validity: 2 * time.Second}
	s.setQueues()
	return s
}

func playLayeredJobs(t *testing.T, dependencies int) time.Duration {
	s := newLayeredSim(t)
	for range 5 {
		s.add(0, "proofs", 1, layeredJob(dependencies)...)
	}
	s.trace = func(int) { s.submitDue() }
	begin := time.Now()
	s.run(0, 30*time.Second)
	for _, j := range s.jobs {
		must.Eq(t, Completed, j.job.State())
	}
	return time.Since(begin)
}

// Guards against a scheduler that does nothing else for many seconds while jobs with hundreds of steps wait, each of which depends on a
// hundred others: leases lapse and calls get no answer meanwhile. Both costs are measured in the same test run.
func TestCostOfJobsDoesNotGrowWithTheirDependencies(t *testing.T) {
	few, many := layeredJobsCost(t, 1), layeredJobsCost(t, MaxSteps/2)
	t.Logf("%v with one dependency a step, %v with %d", few, many, MaxSteps/2)
	must.Less(t, 4*few, many)
}

// Guards against jobs of which nothing runs, while the advisor is asked about all the steps of other jobs first.
func TestEachOfManyLargeJobsStarts(t *testing.T) {
	s := newLayeredSim(t)
	for i := range 20 {
		s.add(time.Duration(i)*20*time.Millisecond, "proofs", 1, layeredJob(1)...)
	}
	s.run(0, 12*time.Second)
	must.MapEmpty(t, s.breaches)
}

// Guards against chains that are measured for an earlier policy of the advisor.
func TestLongestChainFollowsThePolicyOfTheQueue(t *testing.T) {
	j := &Job{Spec: Spec{Steps: []Step{
		{Estimate: 5 * time.Second}, {Estimate: time.Second}, {Estimate: time.Second, DependsOn: []int{1, 1}}, {Estimate: time.Second, DependsOn: []int{2}},
	}}}
	j.measureChains()
	must.Eq(t, 2, j.countDependencies(3)+j.countDependencies(2))
	must.Eq(t, 5*time.Second, j.longestChain(0))
	must.Eq(t, 9*time.Second, j.longestChain(2*time.Second))
	must.Eq(t, 5*time.Second, j.longestChain(0))
	must.Eq(t, 6*time.Second, j.chainTime(2, 2*time.Second))
}
