package cell

import "time"

// EventKind names a change of what the scheduler believes.
type EventKind string

// The kinds of events.
const (
	RunnerSuspect  EventKind = "runner suspect"
	RunnerLapsed   EventKind = "leases of runner lapsed"
	RunnerReborn   EventKind = "runner restarted"
	RunnerSick     EventKind = "runner quarantined"
	InheritedClear EventKind = "inherited runs known"
	RunAdopted     EventKind = "run adopted"
	RunOrphan      EventKind = "unknown run stopped"
	RunLost        EventKind = "run lost"
	RunEnded       EventKind = "run ended"
	RunStalled     EventKind = "run stalled"
	GangIncomplete EventKind = "incomplete gang stopped"
	JobFinished    EventKind = "job finished"
)

// Event is a change of belief or a decision that the caller logs.
type Event struct {
	Kind      EventKind
	Task      TaskRef
	Execution int64
	Runner    string
	Detail    string
	Count     int
	Age       time.Duration
}

func (c *Cell) event(e Event) { c.events = append(c.events, e) }

// TakeEvents returns the events since the last call.
func (c *Cell) TakeEvents() []Event {
	e := c.events
	c.events = nil
	return e
}
