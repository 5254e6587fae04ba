package cellsched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/cell"
)

// Guards against a stored job from which the next scheduler cannot learn the policy of its queue, which the
// operator may have removed.
func TestRecordOfAJobHoldsItsQueuePolicy(t *testing.T) {
	q := cell.Queue{
		Name: "q", Pool: "p", Priority: 3, MaxAttempts: 1, SlackFactor: 1.5, TargetLatency: 250 * time.Millisecond,
		Advice: &cell.AdvicePolicy{Base: 11700 * time.Microsecond, PerRunner: 170 * time.Microsecond, Validity: 2 * time.Second},
	}
	now := time.Now()
	for _, want := range []cell.Queue{q, {Name: "q", Pool: "p", MaxAttempts: 7, SlackFactor: 2}} {
		value, err := EncodeJob(NewJobHeader(now, want), []byte(`{"steps":[{"count":1}]}`))
		must.NoError(t, err)
		j, err := DecodeJob("0000000000000001", value)
		must.NoError(t, err)
		must.Eq(t, &want, j.QueuePolicy)
	}
}
