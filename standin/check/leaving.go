package check

import (
	"time"

	"rhubarbstall.example/standin/history"
)

// LeavingGracePeriod is the time after a VM begins leaving during which new work
// may still reach it.
const LeavingGracePeriod = 3 * time.Second

// checkLeaving reports new work that reached a VM later than LeavingGracePeriod
// after it began leaving, whether the VM accepted or refused the work.
func (r *Report) checkLeaving(events []history.Event) {
	since := make(map[place]time.Time)
	for _, e := range events {
		p := place{e.Node, e.Instance}
		switch e.Type {
		case history.Leaving:
			if e.State == history.LeavingOff {
				delete(since, p)
			} else {
				since[p] = e.At
			}
		case history.RunStarted, history.RunRefused, history.TaskStarted, history.TaskRefused:
			if from, ok := since[p]; ok && e.At.Sub(from) > LeavingGracePeriod {
				r.add(NewWorkOnLeavingVM, e.At, "VM %s recorded %s %v after it began leaving", e.Node, e.Type, e.At.Sub(from).Round(time.Millisecond))
			}
		}
	}
}
