package command

import (
	"context"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newJobsGet(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "get JOB",
		Short: "Show a job",
		Args:  positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := a.getJob(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.printJob(job)
		},
	}
}

func (a *app) getJob(ctx context.Context, id string) (*oas.Job, error) {
	return call(ctx, a, readOnly, func(ctx context.Context, c *oas.Client) (*oas.Job, error) {
		return c.GetJob(ctx, oas.GetJobParams{ID: id})
	})
}
