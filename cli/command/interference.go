package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newInterference(a *app) *cobra.Command {
	return listCommand[oas.Interference]{
		use: "interference", short: "List the images and queues whose tasks slow each other down", empty: "no interference known",
		header: []string{"TASKS OF", "BESIDE", "EFFECT ON", "SLOWDOWN", "AT LEAST", "SAMPLES BESIDE", "WITHOUT", "KNOWN FOR", "LAST SAMPLE"},
		fetch:  (*oas.Client).ListInterference,
		addRow: func(t *table, p oas.Interference) {
			t.add(p.Class, p.Beside, p.Effect, fmt.Sprintf("%.2f", p.Slowdown), fmt.Sprintf("%.2f", p.SlowdownAtLeast),
				fmt.Sprintf("%.0f", p.SamplesBeside), fmt.Sprintf("%.0f", p.SamplesWithout), wholeSeconds(p.KnownForS), wholeSeconds(p.LastSampleAgeS))
		},
	}.build(a)
}

func wholeSeconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Second)
}
