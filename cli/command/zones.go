package command

import (
	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newZones(a *app) *cobra.Command {
	return listCommand[oas.Zone]{
		use: "zones", short: "List the availability zones as the server sees them", empty: "no availability zones",
		header: []string{"AVAILABILITY ZONE", "ENTRY VMS", "REACHABLE", "ZONE SCHEDULER", "PLATFORM"},
		fetch:  (*oas.Client).ListZones,
		addRow: func(t *table, z oas.Zone) {
			platform := "-"
			if v, ok := z.PlatformReachable.Get(); ok {
				platform = yesNo(v)
			}
			t.add(z.Name, z.EntryVms, yesNo(z.Reachable), z.ZoneScheduler.Or("-"), platform)
		},
	}.build(a)
}
