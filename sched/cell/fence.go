package cell

import "time"

// A runner that starts again under its id also executes calls that were meant for its previous incarnation and
// arrive late: a start runs there, and a renewal makes the runner forget ends that nobody has read. The runner
// refuses calls with a lower fencing token than the highest that it has seen in its present incarnation. Each
// incarnation that the scheduler notices therefore gets a fence of its own, which is part of the token. Nothing
// is concluded from the new incarnation's lists, and nothing starts there, before it has answered a call with its
// fence; from then on it refuses the earlier calls.

// Token returns the token that calls to a runner carry, and whether its present incarnation has answered a call
// with its fence. The token never goes back while the cell exists.
func (c *Cell) Token(id string) (token int64, confirmed bool) {
	r := c.runners[id]
	if r == nil {
		return c.removedTokens[id], false
	}
	return r.token, r.fenced
}

// RestartedSince reports whether a restart of a runner was noticed since a call with the given token was sent.
func (c *Cell) RestartedSince(id string, token int64) bool {
	r := c.runners[id]
	return r == nil || token < r.fence
}

// The ways in which a restart of a runner is noticed.
const (
	restartByReport  = "report"
	restartByEntry   = "entry"
	restartByClock   = "clock"
	restartByAddress = "address"
)

// noteRestart begins a new fence for a runner that has restarted, unless the present one is not confirmed yet: the
// runner may then restart any number of times, since nothing was started and no end acknowledged with it.
func (c *Cell) noteRestart(now time.Time, r *runner, noticedBy string) {
	if !r.fenced {
		return
	}
	event := Event{Kind: EventRunnerRestarted, Runner: r.info.ID, Count: len(r.runs), Detail: noticedBy}
	if r.sentAck > r.acknowledgedEnd {
		event.UnansweredAck = r.sentAck
	}
	r.token++
	r.fence, r.ackLost = r.token, false
	r.fenced, r.endsComplete = false, false
	r.lastEndNumber, r.storedEndNumber, r.sentAck, r.acknowledgedEnd, r.unsavedEnds = 0, 0, 0, 0, nil
	r.failuresInRow, r.quarantinedUntil = 0, time.Time{}
	r.speed.restarted()
	for _, run := range r.runs {
		if run.Phase == Sending || run.Phase == OutcomeUnknown {
			event.UnansweredStarts++
			c.holdUnanswered(now, run)
		}
	}
	c.event(event)
}

// checkEndNumber reports ends that the present incarnation of a runner has removed before this scheduler has read
// them: their numbers are missing before that of the next end. Only of an incarnation that began in this term is
// the first number known.
func (c *Cell) checkEndNumber(r *runner, next *ReportedEnd) {
	if missing := next.Number - r.lastEndNumber - 1; missing > 0 && (r.lastEndNumber > 0 || r.fence > 0) {
		c.event(Event{Kind: EventEndsRemovedUnread, Runner: r.info.ID, Count: int(missing)})
	}
}

// RecordRestart records that the answer to an order showed that the runner had restarted before. The
// order gave the end of its lease by the clock of the previous incarnation. No new runs start there until the
// report of the new one, which may be smaller or of another kind.
func (c *Cell) RecordRestart(now time.Time, id string) {
	if r := c.runners[id]; r != nil {
		r.extendLease(now, c.cfg.MaxLease)
		r.suspect = true
		c.noteRestart(now, r, restartByClock)
	}
}

// keepListedRun records that the present incarnation lists a run that was ordered before the restart was noticed.
func (c *Cell) keepListedRun(now time.Time, r *runner, run *Run) {
	run.Fence, run.Incarnation = r.fence, r.incarnation
	run.pacePercent = unknownPacePercent
	if !run.stopSentAt.IsZero() {
		// The acknowledgement of the previous incarnation does not bind this one.
		run.stopAckedAt, run.stopSentAt = time.Time{}, now
		c.stops = append(c.stops, StopOrder{Run: run})
	}
}
