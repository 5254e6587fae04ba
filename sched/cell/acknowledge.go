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
	// AckReady means that the acknowledgement is to be sent now.
	AckReady
	// AckAfterStarts means that starts are under way, which have to be answered first. No further ones are sent.
	AckAfterStarts
	// AckBarred means that a start may still be carried out late.
	AckBarred
)

// BeginAcknowledgement returns whether ends of a runner can be acknowledged now, and with AckReady the number of the
// last of them; EndAcknowledgement must follow. A caller that does not wait for starts that are under way calls
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
	r.ackUnderWay, r.sentAck = true, number
	return AckReady, number
}

// passLostAck makes further calls carry a higher token than an acknowledgement that may still be on its way.
func (r *runner) passLostAck() {
	if r.ackLost {
		r.ackLost = false
		r.token++
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
	r.ackUnderWay = false
	if !answered {
		r.ackLost = true
		c.event(Event{Kind: EventAckUnanswered, Runner: id, UnansweredAck: r.sentAck, UnansweredStarts: len(r.unsettled)})
	}
}
