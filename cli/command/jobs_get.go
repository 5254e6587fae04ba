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
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, list []string) error {
			job, err := a.job(cmd.Context(), list[0])
			if err != nil {
				return err
			}
			return a.printJob(job)
		},
	}
}

func (a *app) job(ctx context.Context, id string) (*oas.Job, error) {
	return call(ctx, a, reads, func(ctx context.Context, c *oas.Client) (*oas.Job, error) {
		return c.GetJob(ctx, oas.GetJobParams{ID: id})
	})
}
