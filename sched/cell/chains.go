package cell

import "time"

// The rank of each group of a job depends on the chains of steps in it. A job may have hundreds of steps with hundreds of
// dependencies each, so the chains are measured once for each job and not for each group and decision.

// longestChain is the time that the longest chain of a job takes, for one time of a call to the advisor. Policies change rarely.
type longestChain struct {
	known    bool
	callTime time.Duration
	total    time.Duration
}

// measureChains measures the chains of dependent steps of the job's specification.
func (j *Job) measureChains() {
	j.criticalPaths, j.chainSteps = j.Spec.criticalPaths(), nil
	if len(j.Spec.Steps) > 1 {
		j.chainSteps = j.Spec.chainSteps()
	}
}

// chainTime returns the estimated time from the start of a step, or from the advisor's call before it, to the end of the job; callTime
// is the time of a call for each step, 0 without an advisor.
func (j *Job) chainTime(step int, callTime time.Duration) time.Duration {
	calls := time.Duration(1)
	if len(j.chainSteps) > 0 {
		calls = time.Duration(j.chainSteps[step])
	}
	return j.criticalPaths[step] + calls*callTime
}

// longestChain returns the largest chainTime of all steps.
func (j *Job) longestChain(callTime time.Duration) time.Duration {
	if c := &j.longest; !c.known || c.callTime != callTime {
		*c = longestChain{known: true, callTime: callTime}
		for step := range j.criticalPaths {
			c.total = max(c.total, j.chainTime(step, callTime))
		}
	}
	return j.longest.total
}

// callTimePerStep returns the time that a call to the advisor is assumed to take for a step; 0 without an advisor.
func (q *Queue) callTimePerStep() time.Duration {
	if q.Advice == nil {
		return 0
	}
	return q.Advice.CallTime(assumedRunnersPerCall)
}

// criticalPaths returns, for each step, the length of the critical path that begins with
// it: the estimated time from its start to the end of the longest chain of dependent steps.
func (s *Spec) criticalPaths() []time.Duration {
	out := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		out[i] += s.Steps[i].Estimate
		for _, dependency := range s.Steps[i].DependsOn {
			out[dependency] = max(out[dependency], out[i])
		}
	}
	return out
}

// chainSteps returns, for each step, the number of steps in the longest chain that begins with it.
func (s *Spec) chainSteps() []uint16 {
	out := make([]uint16, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		out[i]++
		for _, dependency := range s.Steps[i].DependsOn {
			out[dependency] = max(out[dependency], out[i])
		}
	}
	return out
}
