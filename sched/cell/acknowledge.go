package cell

import (
	"slices"
	"time"
)

// AckState tells whether the ends of a runner can be acknowledged.
type AckState int

// The states of the acknowledgement of ends.
const (
	// AckNothing means that there is no end to acknowledge.
	AckNothing AckState = iota
	// AckReady means that the acknowledgement is to be sent now, by a call that does not wait. No start is sent before its answer.
	AckReady
	// AckAlong means that a call which waits for a run to end may acknowledge ends as well: the runner is full, so a start
	// is not likely before that.
	AckAlong
	// AckAfterStarts means that starts are under way, which have to be answered first. No further ones are sent.
	AckAfterStarts
	// AckBarred means that a start may still be carried out late.
	AckBarred
)

// alongTokenLimit is the token of a runner from which on no acknowledgement goes along with another call: a start that comes
// meanwhile uses up a token, and the term, which has 1,024, ends with the last one.
const alongTokenLimit = 512

// BeginAcknowledgement returns whether ends of a runner can be acknowledged now, and with AckReady and AckAlong the number of
// the last of them; EndAcknowledgement must follow. A caller that does not wait for starts that are under way calls
// CancelAcknowledgement.
func (c *Cell) BeginAcknowledgement(now time.Time, id string) (AckState, int64) {
	number := c.EndToAcknowledge(id)
	if number == 0 {
		return AckNothing, 0
	}
	r := c.runners[id]
	r.ackWaiting = false
	underWay := false
	for _, u := range r.unsettled {
		if !u.underWay && c.mayArrive(now, u) {
			return AckBarred, 0
		}
		underWay = underWay || u.underWay
	}
	if underWay {
		r.ackWaiting = true
		return AckAfterStarts, 0
	}
	r.passLostAck()
	r.sentAck, r.ackToken = number, r.token
	if c.isFull(now, r) && r.token < alongTokenLimit {
		r.ackAlong = true
		return AckAlong, number
	}
	r.ackUnderWay = true
	return AckReady, number
}

// isFull reports whether no start is likely on a runner before one of its runs ends: it has less free than any recent start
// took. On a busy VM that spares a call for each end.
func (c *Cell) isFull(now time.Time, r *runner) bool {
	least, ok := c.leastClaims.least(now)
	free := r.free()
	return ok && len(r.runs) > 0 && (free.MilliCPU < least.MilliCPU || free.MemoryMB < least.MemoryMB)
}

// passLostAck makes further calls carry a higher token than an acknowledgement that may still be on its way.
func (r *runner) passLostAck() {
	if r.ackLost {
		r.ackLost = false
		r.token = max(r.token, r.ackToken+1)
	}
}

// findLostAck records that an acknowledgement without an answer was executed, if the ends are gone from a report of the
// present incarnation.
func (r *runner) findLostAck(rep *Report) {
	if !r.ackLost || slices.ContainsFunc(rep.Ended, func(e ReportedEnd) bool { return e.Number <= r.sentAck }) {
		return
	}
	r.ackLost = false
	r.acknowledgedEnd = max(r.acknowledgedEnd, r.sentAck)
}

// CancelAcknowledgement allows starts again after AckAfterStarts.
func (c *Cell) CancelAcknowledgement(id string) {
	if r := c.runners[id]; r != nil {
		r.ackWaiting = false
	}
}

// EndAcknowledgement records whether an acknowledgement has been answered, or was certainly not executed.
func (c *Cell) EndAcknowledgement(id string, answered bool) {
	r := c.runners[id]
	if r == nil {
		return
	}
	r.ackUnderWay, r.ackAlong = false, false
	if !answered {
		r.ackLost = true
		c.event(Event{Kind: EventAckUnanswered, Runner: id, UnansweredAck: r.sentAck, UnansweredStarts: len(r.unsettled)})
	}
}
