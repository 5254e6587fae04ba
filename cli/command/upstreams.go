package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newUpstreams(a *app) *cobra.Command {
	return listCommand[oas.Upstream]{
		use: "upstreams", short: "List the upstreams of the server's availability zone", empty: "no upstreams",
		header: []string{"UPSTREAM", "STATE", "OWNED SLOTS", "BUSY SLOTS", "IN FLIGHT", "ERRORS", "LATENCY"},
		fetch:  (*oas.Client).ListUpstreams,
		addRow: func(t *table, u oas.Upstream) {
			errorRate, latency := "-", "-"
			if v, ok := u.ErrorRate.Get(); ok {
				errorRate = fmt.Sprintf("%.1f%%", v*100)
			}
			if v, ok := u.LatencyMs.Get(); ok {
				latency = fmt.Sprintf("%.1f ms", v)
			}
			t.add(u.ID, u.State, u.OwnedSlots, u.BusySlots, u.InFlight, errorRate, latency)
		},
	}.build(a)
}
