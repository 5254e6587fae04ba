package cellsched

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/cell"
)

// Guards against a call to the scheduler for each question how many jobs are pending, against counts that
// are older than callers may see, and against a count of 0 from a scheduler that has not loaded its jobs.
func TestPendingJobsAreToldFromAFreshReadingOfTheLoad(t *testing.T) {
	c := adviceClient(t, "127.0.0.1:1")
	pending := func(load cell.Load, age time.Duration) (int, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		c.schedulerLoad.Store(&loadReading{load, time.Now().Add(-age)})
		return c.Pending(ctx, "q")
	}
	n, err := pending(cell.Load{Pending: map[string]int{"q": 7}}, time.Second)
	must.NoError(t, err)
	must.Eq(t, 7, n)
	n, err = pending(cell.Load{Pending: map[string]int{"other": 7}}, time.Second)
	must.NoError(t, err)
	must.Eq(t, 0, n)
	_, err = pending(cell.Load{Pending: map[string]int{"q": 7}}, maxPendingAge+time.Millisecond)
	must.Error(t, err)
	_, err = pending(cell.Load{}, 0)
	must.Error(t, err)
}
