package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// plainQueue returns a queue without an advisor.
func plainQueue() Queue { return Queue{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2} }

// decideUntilStart makes decisions until one starts runs, for at most limit, and returns
// these start orders before they are sent.
func (w *testCell) decideUntilStart(limit time.Duration) []StartOrder {
	for range int(limit / (100 * time.Millisecond)) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.cell.Tick(w.now)
		d := w.cell.Decide(w.now, w.now)
		w.writeStates()
		if len(d.Starts) > 0 {
			return d.Starts
		}
		for _, call := range d.Advice {
			var approved []Approval
			for _, id := range call.Runners {
				approved = append(approved, Approval{Runner: id, Ticket: "t"})
			}
			w.cell.RecordAdvice(w.now, call, w.now, approved, nil)
		}
	}
	return nil
}

// Guards against a start after the cancel of its job was acknowledged: the order was
// decided earlier and waited on a busy VM.
func TestStartIsNotSentAfterCancel(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	j := w.addJob("0000000000000001", smallStep(1))
	st := w.decideUntilStart(time.Second)[0]
	must.Eq(t, "", w.cell.StaleStartReason(w.now, st))
	w.cell.Cancel(w.now, j.ID)
	must.Eq(t, staleWithdrawn, w.cell.StaleStartReason(w.now, st))
	w.writeStates()
	must.Eq(t, staleWithdrawn, w.cell.StaleStartReason(w.now, st))
	w.cell.RecordStartOutcome(w.now, st.Run, StartRefused, staleWithdrawn)
	must.MapEmpty(t, w.cell.runners[st.Run.Runner].runs)
}

// Guards against two runs of a task at a time: the runner was silent for longer than its
// leases, the task started elsewhere, and the first order was still waiting to be sent.
func TestStartIsNotSentAfterItsRunWasLost(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	st := w.decideUntilStart(time.Second)[0]
	w.cell.MarkUnreachable(st.Run.Runner)
	second := w.stepUntilStart(15 * time.Second)
	must.Len(t, 1, second)
	must.NotEq(t, st.Run.Runner, second[0].Run.Runner)
	must.Eq(t, staleWithdrawn, w.cell.StaleStartReason(w.now, st))
}

// Guards against a start order that waited and is sent after the task was reported done.
func TestStartIsNotSentAfterTaskIsDone(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1), smallStep(1))
	st := w.decideUntilStart(time.Second)[0]
	other := "r0"
	if st.Run.Runner == other {
		other = "r1"
	}
	w.report(other, Report{Incarnation: 1, Ended: []ReportedEnd{{Number: 1, Task: st.Run.Task, Execution: st.Run.Execution - 1, Kind: EndDone}}})
	must.Eq(t, staleWithdrawn, w.cell.StaleStartReason(w.now, st))
}

// Guards against gang members that wait for a member that never starts: another member was
// refused before this one was sent, or this one waited too long.
func TestGangMemberIsNotSentAfterRefusalOrDelay(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	gang := smallStep(2)
	gang.Gang = true
	w.addJob("0000000000000001", gang)
	starts := w.decideUntilStart(time.Second)
	must.Len(t, 2, starts)
	must.Eq(t, StaleLate, w.cell.StaleStartReason(w.now.Add(maxGangSendDelay+time.Millisecond), starts[1]))
	w.cell.RecordStartOutcome(w.now, starts[0].Run, StartRefused, "room")
	must.Eq(t, staleWithdrawn, w.cell.StaleStartReason(w.now, starts[1]))
}

// Guards against orders that the runner rejects or does not answer: since the decision, the
// ticket has expired or the runner has become silent.
func TestStartIsNotSentWithExpiredTicketOrToSilentRunner(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{advisedQueue()})
	w.addJob("0000000000000001", smallStep(1))
	st := w.decideUntilStart(time.Second)[0]
	must.Eq(t, "", w.cell.StaleStartReason(w.now, st))
	must.Eq(t, staleTicket, w.cell.StaleStartReason(w.now.Add(2*time.Second), st))
	w.cell.MarkUnreachable(st.Run.Runner)
	must.Eq(t, StaleLate, w.cell.StaleStartReason(w.now, st))
}
