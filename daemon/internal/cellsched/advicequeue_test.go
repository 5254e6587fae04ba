package cellsched

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/cell"
)

// Guards against calls to the advisor that stay queued although VMs wait for calls. This would
// happen if a call woke only a VM whose time limit was over, and this VM woke no other.
func TestWaitingVMsReceiveAllAdvisorCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, calls, callDuration = 8, 400, 20 * time.Millisecond
		q := newAdviceQueue(1)
		ctx, stop := context.WithCancel(context.Background())
		var waits sync.WaitGroup
		for i := range vms {
			waits.Go(func() {
				for ctx.Err() == nil {
					// The VMs stop waiting after different times.
					short, cancel := context.WithTimeout(ctx, time.Duration(7+i)*time.Millisecond)
					id, _, ok := q.waitForCall(short, fmt.Sprintf("vm%d", i))
					cancel()
					if ok {
						time.Sleep(callDuration)
						q.complete(id)
					}
				}
			})
		}
		begin := time.Now()
		for i := range calls {
			q.add(cell.AdviceCall{Group: fmt.Sprint(i), ExpectedDuration: callDuration, Rank: float64(i % 7)})
			if i%20 == 0 {
				time.Sleep(callDuration)
			}
		}
		for {
			q.mu.Lock()
			left := len(q.queued) + len(q.assigned)
			q.mu.Unlock()
			if left == 0 {
				break
			}
			time.Sleep(callDuration)
		}
		stop()
		waits.Wait()
		// All VMs are busy until the last call.
		must.LessEq(t, calls/vms*callDuration+10*callDuration, time.Since(begin))
	})
}

// Guards against the result of a call of an earlier term that is taken for that of another step, whose
// runners would then be wrong for good.
func TestResultOfEarlierTermIsNotTakenForAnotherCall(t *testing.T) {
	earlier, later := newAdviceQueue(3), newAdviceQueue(4)
	for _, q := range []*adviceQueue{earlier, later} {
		for range 10 {
			q.add(cell.AdviceCall{Group: "g"})
		}
	}
	for range 10 {
		id, _, ok := earlier.assign("vm")
		must.True(t, ok)
		_, _, ok = later.assign("vm")
		must.True(t, ok)
		_, ok = later.complete(id)
		must.False(t, ok, must.Sprintf("call %d of the earlier term", id))
	}
}

// Guards against a VM that waits for a call of a scheduler whose term is over, and gets none of the next
// scheduler meanwhile.
func TestWaitForACallEndsWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStoreFixture(t)
		defer c.close()
		s, end := c.newScheduler(alwaysValid)
		time.AfterFunc(500*time.Millisecond, end)
		ctx, cancel := context.WithTimeout(context.Background(), adviceRequestWait)
		defer cancel()
		begin := time.Now()
		_, ok := s.NextAdviceRequest(ctx, "vm")
		must.False(t, ok)
		must.Eq(t, 500*time.Millisecond, time.Since(begin))
	})
}
