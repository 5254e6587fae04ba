package cell

import "time"

// PreparedStart is a start order that is about to be sent.
type PreparedStart struct {
	// Token is the token that the order carries.
	Token int64
	// Attempt identifies the order among those of the same execution; 0 if it must not be sent.
	Attempt int
	// StaleReason tells why the order must not be sent; empty if it may be.
	StaleReason string
	// Blocked tells that the order has to wait until an acknowledgement to the runner is answered.
	Blocked bool
}

// PrepareStart is called right before a start order is sent. After an order that is sent, RecordStartOutcome must follow.
func (c *Cell) PrepareStart(now time.Time, st StartOrder) PreparedStart {
	if reason := c.StaleStartReason(now, st); reason != "" {
		return PreparedStart{StaleReason: reason}
	}
	r, run := c.runners[st.Run.Runner], st.Run
	if r.ackUnderWay || r.ackWaiting {
		return PreparedStart{Blocked: true}
	}
	c.attempts++
	if r.ackAlong {
		// The acknowledgement may still be on its way.
		r.ackLost = true
	}
	r.passLostAck()
	run.Fence, run.attempt = r.token, c.attempts
	u := &unsettledStart{
		runner: r.info.ID, key: runKey{run.Task, run.Execution}, attempt: run.attempt, sentAt: now,
		arrivesUntil: now.Add(c.cfg.LateCallLimit), underWay: true, account: run.account, size: run.size, group: run.group,
	}
	if expiry := run.group.advice.tickets[r.info.ID].expiry; st.Ticket != "" && expiry.Before(u.arrivesUntil) {
		u.arrivesUntil = expiry
	}
	for _, other := range c.unsettled[run.Task] {
		if other.key == u.key && other.runner == u.runner {
			other.repeated, u.repeated = true, true
		}
	}
	c.addUnsettled(u)
	c.unsettledVersion++
	return PreparedStart{Token: r.token, Attempt: run.attempt}
}

// RecordUnidentifiedAnswer records that the answer to a start order does not tell which incarnation of the runner has
// accepted it. The next report does.
func (c *Cell) RecordUnidentifiedAnswer(now time.Time, run *Run, attempt int) {
	if u := c.unsettledAttempt(run, attempt); u != nil {
		u.acceptedAt = now
	}
}

// recordAnswer updates what is known of a start order that may still be carried out. If the runner has accepted a run that is
// not counted any more, the order stands for the run until the next report lists it.
func (c *Cell) recordAnswer(now time.Time, run *Run, attempt int, outcome StartOutcome) {
	u := c.unsettledAttempt(run, attempt)
	if u == nil {
		return
	}
	if u.underWay {
		u.underWay = false
		c.unsettledVersion++
	}
	if outcome == StartOK && u.acceptedAt.IsZero() {
		if r := c.runners[run.Runner]; r == nil || r.runs[u.key] == nil {
			u.acceptedAt = now
			return
		}
		c.settle(u)
	}
	if outcome == StartRefused {
		c.settle(u)
	}
}

// unsettledAttempt returns an order of this scheduler that may still be carried out; nil if there is none. An order that was
// not sent has no attempt, and neither have those of earlier schedulers.
func (c *Cell) unsettledAttempt(run *Run, attempt int) *unsettledStart {
	if attempt == 0 {
		return nil
	}
	for _, u := range c.unsettled[run.Task] {
		if u.attempt == attempt && u.runner == run.Runner {
			return u
		}
	}
	return nil
}
