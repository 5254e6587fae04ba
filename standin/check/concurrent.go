package check

// checkConcurrentAttempts reports tasks with two attempts that overlap in time. An
// attempt that starts at the instant at which the other ends does not overlap.
func (r *Report) checkConcurrentAttempts(runs []*taskRun) {
	byTask := make(map[taskKey][]*taskRun)
	for _, t := range runs {
		for _, other := range byTask[t.key()] {
			if t.start.Before(other.end) && other.start.Before(t.end) {
				r.add(ConcurrentAttempts, t.start, "task %s/%d ran concurrently as attempt %d on %s and as attempt %d on %s",
					t.ref.Job, t.ref.Index, other.ref.Attempt, other.place.node, t.ref.Attempt, t.place.node)
			}
		}
		byTask[t.key()] = append(byTask[t.key()], t)
	}
}
