package command

import (
	"context"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newJobsCancel(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job; nothing of it starts after the answer",
		Args:  positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := call(cmd.Context(), a, mutating, func(ctx context.Context, c *oas.Client) (*oas.Job, error) {
				return c.CancelJob(ctx, oas.CancelJobParams{ID: args[0]})
			})
			if err != nil {
				return err
			}
			return a.printJob(job)
		},
	}
}
