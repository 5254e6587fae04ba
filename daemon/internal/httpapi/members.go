package httpapi

import (
	"context"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/daemon/internal/membership"
)

// ListVMs implements oas.Handler.
func (h *handler) ListVMs(context.Context) ([]oas.VM, error) {
	self := h.services.Members.Self().ID
	members := h.services.Members.Members()
	out := make([]oas.VM, 0, len(members))
	for _, m := range members {
		out = append(out, oas.VM{
			ID:               m.ID,
			AvailabilityZone: m.Zone,
			State:            oas.VMState(m.State),
			SettingsRevision: int64(m.Report.SettingsRevision),
			Self:             oas.NewOptBool(m.ID == self),
			ZoneScheduler:    oas.NewOptBool(m.Report.SchedulerEpoch > 0),
		})
	}
	return out, nil
}

// ListZones implements oas.Handler.
func (h *handler) ListZones(context.Context) ([]oas.Zone, error) {
	self := h.services.Members.Self()
	zones := make(map[string]*oas.Zone)
	if doc, _, ok := h.services.Settings.Current(); ok {
		for _, name := range doc.Zones {
			zones[name] = &oas.Zone{Name: name}
		}
	}
	for _, m := range h.services.Members.Members() {
		z, ok := zones[m.Zone]
		if !ok {
			z = &oas.Zone{Name: m.Zone}
			zones[m.Zone] = z
		}
		if m.State != membership.Alive {
			continue
		}
		z.EntryVms++
		z.Reachable = true
		if m.Report.SchedulerEpoch > 0 {
			z.ZoneScheduler = oas.NewOptString(m.ID)
		}
		if m.ID == self.ID {
			z.PlatformReachable = oas.NewOptBool(m.Report.PlatformReachable)
		}
	}
	out := make([]oas.Zone, 0, len(zones))
	for _, name := range sortedKeys(zones) {
		out = append(out, *zones[name])
	}
	return out, nil
}
