package app

import (
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/settings"
)

// report returns the content of this entry VM's heartbeats.
func (a *App) report() membership.Report {
	_, revision, _ := a.settings.Current()
	r := membership.Report{
		SettingsRevision:  revision,
		QueuedRequests:    a.router.QueuedRequests(),
		SchedulerEpoch:    a.jobs.SchedulerEpoch(),
		Draining:          a.draining.Load(),
		PlatformReachable: a.store.Reachable(),
	}
	if !r.Draining {
		r.FreeSlots = a.router.FreeSlots()
	}
	return r
}

// onPause logs that the process was suspended or not scheduled for a while.
func (a *App) onPause(d time.Duration) {
	a.log.Warn("[app] process resumed after a pause; leases may have expired", zap.Duration("pause", d))
}

// budgetShare returns this entry VM's share of a budget that all entry VMs use together. It
// counts alive and suspect members, because suspect members may still be running. So in a
// partition the sum of the shares exceeds the budget only by the shares of members that are
// hidden from this VM.
func (a *App) budgetShare(total int) int {
	if a.members == nil {
		return 1 // The platform client asks once before the member list exists.
	}
	n := 0
	for _, m := range a.members.Members() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			n++
		}
	}
	return max(1, total/max(1, n))
}

// limits returns the limits of the settings in force, or the defaults.
func (a *App) limits() settings.Limits {
	if a.settings != nil {
		if doc, _, ok := a.settings.Current(); ok {
			return doc.Limits
		}
	}
	return settings.Limits{}.WithDefaults()
}

func (a *App) writesPerSecond() int { return a.budgetShare(a.limits().PlatformWritesPerSecond) }

func (a *App) readsPerSecond() int { return a.budgetShare(a.limits().PlatformReadsPerSecond) }
