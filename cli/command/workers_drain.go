package command

import (
	"context"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newWorkersDrain(a *app) *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain WORKER",
		Short: "Stop new starts on a worker, or allow them again with --undo",
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, list []string) error {
			// Draining twice has the effect of draining once, but another operator may
			// have undone it in between, so it is not repeated once sent.
			w, err := call(cmd.Context(), a, writes, func(ctx context.Context, c *oas.Client) (*oas.Worker, error) {
				return c.DrainWorker(ctx, &oas.Drain{Enabled: !undo}, oas.DrainWorkerParams{ID: list[0]})
			})
			if err != nil {
				return err
			}
			t := &table{header: workerHeader}
			addWorker(t, *w)
			return a.print(w, t)
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "allow new starts again")
	return cmd
}
