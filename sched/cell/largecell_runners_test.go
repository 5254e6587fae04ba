package cell

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/shoenig/test/must"
)

// largeCellFaults holds the shares of faulty calls and runs.
type largeCellFaults struct {
	// failed is the share of runs that end failed, lostStarts that of start orders without an answer, of
	// which half are carried out, and lostAnswers that of calls to the advisor that fail.
	failed, lostStarts, lostAnswers float64
}

// approves reports whether the advisor permits a step on a runner.
func (w *largeCellSim) approves(g *group, id string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d %s %s", w.seed, g.adviceKey(), id)
	return float64(h.Sum32()%1000) < w.jobs[g.job.ID].kind.approvedShare*1000
}

// serveCalls answers the calls that are due and lets each idle VM make the next call. As in
// the scheduler, a quarter of the VMs makes short calls only.
func (w *largeCellSim) serveCalls() {
	long := 0
	for i := range w.vmCalls {
		l := &w.vmCalls[i]
		if l.pending && !w.now.Before(l.answer) {
			l.pending = false
			var approved []Approval
			for _, id := range l.call.Runners {
				if w.approves(l.call.group, id) {
					approved = append(approved, Approval{Runner: id, Ticket: "t"})
				}
			}
			var err error
			if w.chance(w.faults.lostAnswers) {
				err = errTestAdvisor
			}
			w.cell.RecordAdvice(w.now, l.call, l.sent, approved, err)
		}
		if l.pending && l.call.ExpectedDuration > longCallTime {
			long++
		}
	}
	slices.SortStableFunc(w.calls, func(a, b AdviceCall) int {
		switch {
		case a.Rank < b.Rank:
			return -1
		case a.Rank > b.Rank:
			return 1
		}
		return 0
	})
	for i := range w.vmCalls {
		if w.vmCalls[i].pending {
			continue
		}
		for n, call := range w.calls {
			if call.ExpectedDuration > longCallTime {
				if long >= entryVMs-entryVMs/4 {
					continue
				}
				long++
			}
			w.vmCalls[i] = entryVMCall{call: call, sent: w.now, answer: w.now.Add(call.ExpectedDuration), pending: true}
			w.calls = slices.Delete(w.calls, n, n+1)
			w.currentSecond().advice++
			break
		}
	}
}

// chance reports true with a probability. It draws no number if that is 0, so that the random numbers of
// the simulations without faults stay the same.
func (w *largeCellSim) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// orderStart carries out the order to start a run, unless it is lost.
func (w *largeCellSim) orderStart(run *Run) {
	if w.chance(w.faults.lostStarts) {
		if w.chance(0.5) {
			w.startRun(run)
		}
		w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
		return
	}
	w.startRun(run)
	w.cell.RecordStartOutcome(w.now, run, StartOK, "")
}

// startRun starts a run on its runner and checks that the runner is not overfilled.
func (w *largeCellSim) startRun(run *Run) {
	g := w.jobs[run.Task.Job]
	r := &largeCellRun{run: run, work: g.work[run.Task.Step][run.Task.Index]}
	w.running[run.Runner] = append(w.running[run.Runner], r)
	r.ends, r.fails = w.now.Add(r.work), w.chance(w.faults.failed)
	if r.fails {
		r.ends = w.now.Add(time.Duration(w.random.Float64() * float64(r.work)))
	}
	if used := w.cell.runners[run.Runner].used; !used.Fits(w.cell.runners[run.Runner].info.Capacity) {
		w.violations = append(w.violations, "overfilled "+run.Runner)
	}
}

// endRuns ends the runs on a runner that have finished their work.
func (w *largeCellSim) endRuns(id string) {
	keep := w.running[id][:0]
	var failed []*Run
	for _, r := range w.running[id] {
		if w.now.Before(r.ends) {
			keep = append(keep, r)
			continue
		}
		if r.fails {
			w.addEnd(id, r, EndFailed)
			failed = append(failed, r.run)
			continue
		}
		w.addEnd(id, r, EndDone)
	}
	w.running[id] = keep
	for _, run := range failed {
		w.breakGang(run)
	}
}

// breakGang ends the other members of a gang after one has failed.
func (w *largeCellSim) breakGang(failed *Run) {
	if !failed.group.spec.Gang {
		return
	}
	for id, runs := range w.running {
		w.running[id] = slices.DeleteFunc(runs, func(r *largeCellRun) bool {
			broken := r.run.group == failed.group && r.run.Execution == failed.Execution
			if broken {
				w.addEnd(id, r, EndGangBroken)
			}
			return broken
		})
	}
}

func (w *largeCellSim) addEnd(id string, r *largeCellRun, how EndKind) {
	w.endNumbers[id]++
	w.newEnds[id] = append(w.newEnds[id], ReportedEnd{Number: w.endNumbers[id], Task: r.run.Task, Execution: r.run.Execution, Kind: how})
	if how == EndDone {
		w.currentSecond().usefulCoreSeconds += r.work.Seconds() * float64(r.run.claimed.MilliCPU) / 1000
	}
}

func (w *largeCellSim) stopRun(run *Run) {
	for i, r := range w.running[run.Runner] {
		if r.run == run {
			w.running[run.Runner] = slices.Delete(w.running[run.Runner], i, i+1)
			w.addEnd(run.Runner, r, EndStopped)
			break
		}
	}
	w.cell.RecordStopAck(w.now, run)
}

func (w *largeCellSim) report(id string) {
	w.lastReportAt[id] = w.now
	rep := Report{Incarnation: 1, Ended: w.newEnds[id]}
	delete(w.newEnds, id)
	for _, r := range w.running[id] {
		percent := 100 * (1 - float64(r.ends.Sub(w.now))/float64(r.work))
		rep.Running = append(rep.Running, ReportedRun{Task: r.run.Task, Execution: r.run.Execution, Percent: percent})
	}
	w.cell.RenewLease(w.now, id)
	w.cell.HandleReport(w.now, w.now, id, rep)
}

// writeStates stores up to statesPerWrite changed states, unless the last write was less than
// writeGap ago.
func (w *largeCellSim) writeStates() {
	if w.now.Before(w.nextWrite) {
		return
	}
	w.nextWrite = w.now.Add(w.writeGap)
	dirty, err := w.cell.TakeDirty(w.statesPerWrite)
	must.NoError(w.t, err)
	w.currentSecond().states += len(dirty)
	for _, x := range dirty {
		w.cell.MarkSaved(x)
		if g := w.jobs[x.ID]; x.State.Final() && !g.ended {
			w.recordEndedJob(g)
		}
	}
}
