package cellsched

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// newStoredScheduler returns a scheduler of a term that uses the store of a simulation.
func newStoredScheduler(t *testing.T, s *sim, number int64) *Scheduler {
	store := platform.NewStore(s.net.Dialer("vm"), simStore, nil)
	t.Cleanup(store.Close)
	term := election.Term{Number: number, Valid: func() bool { return true }}
	sched, err := New(Settings{VM: "vm", MaxLease: 6 * time.Second}, term, store, nil, zap.NewNop())
	must.NoError(t, err)
	sched.ctx, sched.stepDown = context.WithCancel(context.Background())
	t.Cleanup(sched.stepDown)
	const guard = "lead/term"
	s.store.Put(guard, []byte("1"))
	item, err := store.Get(sched.ctx, guard)
	must.NoError(t, err)
	sched.term.Guard = platform.Condition{Key: guard, Revision: item.Revision}
	return sched
}

// Guards against a task that runs twice after a change of the scheduler, because the new one does not learn which starts got
// no answer, and against a former one that replaces the record of its successor.
func TestUnansweredStartsReachTheNextScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 1)
		defer s.close()
		task, err := cell.ParseTaskRef("0000000000000001.0.1.2")
		must.NoError(t, err)
		starts := []cell.UnsettledStart{{Task: task, Execution: 7, Runner: "r1"}}
		first := newStoredScheduler(t, s, 1)
		must.True(t, first.loadUnsettledStarts(), must.Sprint("there is no record yet"))
		must.Eq(t, 0, first.storeUnsettledStarts(first.ctx), must.Sprint("nothing to record"))
		first.cell.AdoptUnsettledStarts(time.Now(), starts)
		must.Positive(t, first.storeUnsettledStarts(first.ctx))
		must.Eq(t, 0, first.storeUnsettledStarts(first.ctx), must.Sprint("the record is current"))

		second := newStoredScheduler(t, s, 1+election.TokensPerTerm)
		must.True(t, second.loadUnsettledStarts())
		must.Eq(t, starts, second.cell.UnsettledStarts(10))
		first.cell.AdoptUnsettledStarts(time.Now(), starts)
		record := s.store.Value(startsKey)
		first.storeUnsettledStarts(first.ctx)
		must.Eq(t, record, s.store.Value(startsKey))
		must.Error(t, first.ctx.Err(), must.Sprint("its term is over"))
	})
}

// Guards against a cell without a scheduler because of a malformed record.
func TestMalformedRecordOfStartsIsHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 1)
		defer s.close()
		for value, want := range map[string]int{
			`{"task":1}`: 0,
			`[{"task":"x","execution":1,"runner":"r1"},{"task":"0000000000000001.0.0.0","execution":1,"runner":"r1"}]`: 1,
		} {
			s.store.Put(startsKey, []byte(value))
			sched := newStoredScheduler(t, s, 1)
			must.True(t, sched.loadUnsettledStarts())
			must.Len(t, want, sched.cell.UnsettledStarts(10))
		}
	})
}

// Guards against a task that runs twice because the process that sent its start ended before the answer was overdue, and left
// no record of it to the next scheduler.
func TestStartUnderWayIsRecordedBeforeItsAnswerIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 1)
		defer s.close()
		for range simVMs {
			s.startVM()
		}
		time.Sleep(2 * time.Second)
		leader := s.leader()
		must.NotNil(t, leader)
		for i := range simRunners {
			s.setPartitionedFrom(leader, true, runnerAddr(i))
		}
		s.submit(1)
		time.Sleep(orderTimeout / 2)
		var rows []recordedStart
		must.NoError(t, json.Unmarshal(s.store.Value(startsKey), &rows))
		must.SliceNotEmpty(t, rows)
	})
}
