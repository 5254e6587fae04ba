package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// Guards against answers that reach another call, and against runners that are reached through several
// relays or none.
func TestAnswersReachTheirCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		defer f.close()
		must.Len(t, minRelaysInFixture, f.pool.Names())
		var calls sync.WaitGroup
		for i := range fixtureRunners {
			for k := range 3 {
				calls.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					defer cancel()
					id := fmt.Sprintf("r%d", i)
					report, clock, err := f.pool.RenewLease(ctx, platform.RunnerAddr{ID: id}, platform.RenewLeaseRequest{AckedEnd: int64(k), Wait: time.Duration(i*7%50) * time.Millisecond})
					must.NoError(t, err)
					must.Eq(t, clockOf(id), clock)
					must.Eq(t, []cell.ReportedRun{{Task: cell.TaskRef{Job: id, Index: 1}, Execution: int64(k), Percent: 50}}, report.Running)
				})
			}
		}
		calls.Wait()
		renewals := 0
		for _, x := range f.vms {
			answered, _ := x.runners.renewalCounts()
			renewals += answered
		}
		must.Eq(t, 3*fixtureRunners, renewals)
		direct, _ := f.direct.renewalCounts()
		must.Eq(t, 0, direct)
	})
}

const minRelaysInFixture = 2

// Guards against a number of messages that grows with the calls: batches would cost the scheduler's VM as
// much as the calls themselves.
func TestManyCallsShareABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		before := f.exchangeCount()
		var calls sync.WaitGroup
		for i := range 1000 {
			calls.Go(func() { must.NoError(t, f.startTask(fmt.Sprintf("r%d", i%fixtureRunners), i)) })
			time.Sleep(time.Millisecond)
		}
		calls.Wait()
		exchanges := f.exchangeCount() - before
		must.Between(t, 10, exchanges, 2*batchesPerCore/5)
		must.Eq(t, 1000, f.vms[0].runners.startCount()+f.vms[1].runners.startCount())
		for _, x := range f.vms {
			x.runners.mu.Lock()
			defer x.runners.mu.Unlock()
			must.SliceContains(t, x.runners.tokens, fixtureToken)
			must.SliceContains(t, x.runners.payloads, "payload")
		}
	})
}

// Guards against a refusal that looks like a missing answer, and the other way round, behind a relay.
func TestOutcomesKeepTheirMeaning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		for _, c := range []struct{ in, want error }{
			{fmt.Errorf("%w: refused connection", platform.ErrNotSent), platform.ErrNotSent},
			{fmt.Errorf("%w: reset", platform.ErrNoAnswer), platform.ErrNoAnswer},
			{errors.New("other"), platform.ErrNoAnswer},
		} {
			for _, x := range f.vms {
				x.runners.failWith(c.in)
			}
			err := f.startTask("r1", 1)
			must.ErrorIs(t, err, c.want)
			must.False(t, IsLost(err))
		}
		for _, x := range f.vms {
			x.runners.failWith(&platform.RefusedError{Reason: platform.RefusedFence})
		}
		var refused *platform.RefusedError
		must.True(t, errors.As(f.startTask("r1", 1), &refused))
		must.Eq(t, platform.RefusedFence, refused.Reason)
	})
}

// Guards against a runner that holds renewals whose scheduler does not wait for them any more.
func TestAbandonedRenewalIsCancelledAtTheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		time.AfterFunc(500*time.Millisecond, cancel)
		begin := time.Now()
		_, _, err := f.pool.RenewLease(ctx, platform.RunnerAddr{ID: "r1"}, platform.RenewLeaseRequest{Wait: 5 * time.Second})
		must.ErrorIs(t, err, platform.ErrNoAnswer)
		must.Eq(t, 500*time.Millisecond, time.Since(begin))
		time.Sleep(200 * time.Millisecond)
		_, first := f.vms[0].runners.renewalCounts()
		_, second := f.vms[1].runners.renewalCounts()
		must.Eq(t, 1, first+second)
	})
}

// Guards against a call from outside that ends a relay's process, or makes it call a runner with a task
// that nobody named.
func TestMalformedCallsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		x := f.vms[0]
		hello := x.server.Exchange(context.Background(), &Batch{Session: "s"})
		calls := []Call{
			{Number: 1},
			{Number: 2, Start: &Start{Run: Run{Task: "job"}}},
			{Number: 3, Start: &Start{Run: Run{Task: "a.0.0.0"}, Payload: 1}},
			{Number: 4, Start: &Start{Run: Run{Task: "a.0.0.0"}, Payload: -1}},
			{Number: 5, Stop: &Run{Task: "...."}},
			{Number: 6, Pace: &Pace{}},
		}
		for i := range calls {
			calls[i].TimeoutMS = 100
		}
		var answers []Answer
		b := &Batch{Session: "s", Instance: hello.Instance, NotAfter: hello.Clock + time.Second, Calls: calls}
		for range 10 {
			answers = append(answers, x.server.Exchange(context.Background(), b).Answers...)
			b = &Batch{Session: "s", Instance: hello.Instance}
		}
		must.Len(t, len(calls), answers)
		for _, a := range answers {
			must.Eq(t, reasonInvalid, a.Refused)
		}
		must.Eq(t, 0, x.runners.startCount())
	})
}

// Guards against a batch for each report of an idle runner, and against an end of a run or an order that
// waits for reports of idle runners.
func TestOnlyAnswersThatSomethingWaitsForAreSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		stop := time.Now().Add(10 * time.Second)
		var loops sync.WaitGroup
		for i := range fixtureRunners {
			loops.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				for time.Now().Before(stop) {
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					_, _, err := f.pool.RenewLease(ctx, platform.RunnerAddr{ID: fmt.Sprintf("r%d", i)}, platform.RenewLeaseRequest{Wait: time.Second, Idle: true})
					cancel()
					must.NoError(t, err)
				}
			})
		}
		time.Sleep(2 * time.Second)
		before := f.exchangeCount()
		time.Sleep(5 * time.Second)
		perSecondAndRelay := float64(f.exchangeCount()-before) / 5 / minRelaysInFixture
		must.LessEq(t, 2*float64(time.Second/patientGather), perSecondAndRelay)
		begin := time.Now()
		must.NoError(t, f.startTask("r1", 1))
		must.Less(t, 2*patientGather, time.Since(begin))
		loops.Wait()
		ended := platform.RawReport{Ended: []byte(`[[1,"a.0.0.0",1,"done",""]]`)}
		must.False(t, (&Answer{Report: &ended}).patient())
		must.True(t, (&Answer{Report: &platform.RawReport{Ended: []byte(" [] ")}}).patient())
		must.False(t, (&Answer{Refused: "fence"}).patient())
		must.False(t, (&Call{Renew: &Renew{WaitMS: 1000}}).patient(), must.Sprint("a run may have ended since the last report"))
	})
}

// Guards against a scheduler that is short of processor time, takes all its relays for lost because it
// reads their replies late, and then makes all calls itself.
func TestProcessThatRunsLateKeepsItsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		x, err := f.pool.route("r1")
		must.NoError(t, err)
		// The process sends a batch and does not run for some seconds: one interval passes in it.
		x.mu.Lock()
		x.underWay, x.silent = 1, 0
		x.mu.Unlock()
		x.watch()
		must.True(t, x.ready())
		for range silenceLimit / watchInterval {
			x.watch()
		}
		must.False(t, x.ready(), must.Sprint("a relay that does not reply is lost"))
	})
}
