package estimate

import "time"

// JobTimes summarizes the run times of the finished tasks of one job. The tasks of one
// job resemble each other more than the tasks of a kind do.
type JobTimes struct {
	count    int
	sum, max time.Duration
}

// minJobRunTimes is the number of tasks of a job that must have finished before their
// run times are used as an estimate.
const minJobRunTimes = 2

// Add records the run time of a task that succeeded.
func (j *JobTimes) Add(d time.Duration) {
	j.count++
	j.sum += d
	j.max = max(j.max, d)
}

// RunTime returns the mean run time and an upper estimate. It returns false if too few
// tasks have finished.
func (j *JobTimes) RunTime() (typical, upper time.Duration, ok bool) {
	if j.count < minJobRunTimes {
		return 0, 0, false
	}
	// The upper estimate adds a quarter to the maximum, because few observations do not
	// show the full spread.
	return j.sum / time.Duration(j.count), j.max + j.max/4, true
}
