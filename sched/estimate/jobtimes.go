package estimate

import "time"

// JobTimes holds the run times of the finished tasks of one job. Tasks of a job
// resemble each other more than those of a kind.
type JobTimes struct {
	count    int
	sum, max time.Duration
}

// minJobTimes must be seen before a job's own times are used.
const minJobTimes = 2

// Add records the run time of a task that succeeded.
func (j *JobTimes) Add(d time.Duration) {
	j.count++
	j.sum += d
	j.max = max(j.max, d)
}

// RunTime returns the usual and a long run time; false if too few are known.
func (j *JobTimes) RunTime() (usual, long time.Duration, ok bool) {
	if j.count < minJobTimes {
		return 0, 0, false
	}
	// A quarter on top covers the spread that few observations do not show.
	return j.sum / time.Duration(j.count), j.max + j.max/4, true
}
