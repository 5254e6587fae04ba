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
		Args:  positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			// Draining is idempotent, but another operator may have undone it in the
			// meantime, so a call that was sent is not repeated.
			w, err := call(cmd.Context(), a, mutating, func(ctx context.Context, c *oas.Client) (*oas.Worker, error) {
				return c.DrainWorker(ctx, &oas.Drain{Enabled: !undo}, oas.DrainWorkerParams{ID: args[0]})
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
