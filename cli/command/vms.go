package command

import (
	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newVMs(a *app) *cobra.Command {
	return listCommand[oas.VM]{
		use: "vms", short: "List the entry VMs that the server knows", empty: "no entry VMs",
		header: []string{"VM", "AVAILABILITY ZONE", "STATE", "SETTINGS", "ROLE"},
		fetch:  (*oas.Client).ListVMs,
		addRow: func(t *table, v oas.VM) {
			role := "-"
			switch {
			case v.ZoneScheduler.Or(false):
				role = "zone scheduler"
			case v.Relay.Or(false):
				role = "relay"
			}
			id := v.ID
			if v.Self.Or(false) {
				id += " (this one)"
			}
			t.add(id, v.AvailabilityZone, v.State, v.SettingsRevision, role)
		},
	}.build(a)
}
