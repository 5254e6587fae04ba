package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// EventKind names what an event reports. The values appear in the log.
type EventKind string

// The kinds of events.
const (
	EventRunnerSuspect         EventKind = "runner suspect"
	EventRunnerLeasesLapsed    EventKind = "leases of runner lapsed"
	EventSilentRunnerAwaited   EventKind = "silent runner awaited"
	EventRunnerRestarted       EventKind = "runner restarted"
	EventReportDiscarded       EventKind = "report discarded"
	EventEndsRemovedUnread     EventKind = "ends removed unread"
	EventAckUnanswered         EventKind = "acknowledgement without an answer"
	EventRunnerQuarantined     EventKind = "runner quarantined"
	EventRunnerSlow            EventKind = "runner slow"
	EventRunnerSpeedRecovered  EventKind = "runner speed recovered"
	EventRunnerFast            EventKind = "runner fast"
	EventRunnerSpeedUsual      EventKind = "runner speed usual"
	EventInheritedRunsKnown    EventKind = "inherited runs known"
	EventRunAdopted            EventKind = "run adopted"
	EventUnknownRunStopped     EventKind = "unknown run stopped"
	EventRunLost               EventKind = "run lost"
	EventRunEnded              EventKind = "run ended"
	EventRunStalled            EventKind = "run stalled"
	EventCopyStarted           EventKind = "copy started"
	EventIncompleteGangStopped EventKind = "incomplete gang stopped"
	EventJobFinished           EventKind = "job finished"
	EventAccountLimitSet       EventKind = "account limit set"
	EventAccountAtLimit        EventKind = "account at its limit"
	EventLimitHeld             EventKind = "account limit held for a step"
	EventLimitHoldGivenUp      EventKind = "account limit no longer held for a step"
	EventAccountBeyondWeight   EventKind = "account beyond its weight"
	EventAccountWithinWeight   EventKind = "account within its weight"
	EventInterferenceFound     EventKind = "interference found"
	EventInterferenceForgotten EventKind = "interference forgotten"
	EventReservationPassed     EventKind = "reservation passed"
)

// Event is a change of state or a decision that the caller logs.
type Event struct {
	Kind      EventKind
	Task      TaskRef
	Execution int64
	Runner    string
	Detail    string
	Count     int
	Age       time.Duration
	// UnansweredStarts and UnansweredAck tell, when a runner has restarted, how many start orders got no answer, and
	// up to which end number an acknowledgement got none. The new incarnation may still carry them out.
	UnansweredStarts int
	UnansweredAck    int64
	// Class, Beside and Slowdown tell which class is slowed down beside which, and by what factor. Count is then the
	// number of samples.
	Class, Beside string
	Slowdown      float64
	// Speed is that of a runner relative to the median of its pool; 0 if it is not known.
	Speed float64
	// Account is the client account that the event is about; nil for none.
	Account *AccountEvent
}

// AccountEvent is the part of an event that is about a client account. It is kept apart since most events have none.
type AccountEvent struct {
	Name        string
	Used, Limit model.Resources
	// Version is that of the configuration with the limit.
	Version int64
}

// The reasons why a run counts as lost.
const (
	lostUnlisted     = "not listed"
	lostStopped      = "not listed after its stop"
	lostByRestart    = "not listed after a restart"
	lostLeaseLapsed  = "lease lapsed"
	lostWithInstance = "another runner at the address"
)

func (c *Cell) event(e Event) { c.events = append(c.events, e) }

// TakeEvents returns the events since the last call.
func (c *Cell) TakeEvents() []Event {
	e := c.events
	c.events = nil
	return e
}
