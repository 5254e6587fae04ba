package command

import (
	"context"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

// maxPageSize is the largest number of jobs in a page of the API.
const maxPageSize = 1000

func newJobsList(a *app) *cobra.Command {
	var department, state string
	var limit int
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the jobs of the server's availability zone",
		Args:  positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if limit < 1 {
				return &usageError{"--limit must be above zero"}
			}
			var params oas.ListJobsParams
			if department != "" {
				params.Department = oas.NewOptString(department)
			}
			if state != "" {
				params.State = oas.NewOptJobState(oas.JobState(state))
			}
			jobs, more, err := a.listJobs(cmd.Context(), params, limit)
			if err != nil {
				return err
			}
			t := &table{header: jobHeader, empty: "no jobs"}
			for _, j := range jobs {
				addJob(t, j)
			}
			if err := a.print(jobs, t); err != nil {
				return err
			}
			if more {
				a.printNote("there are more jobs; raise --limit")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&department, "department", "", "only jobs of this department")
	cmd.Flags().StringVar(&state, "state", "", "only jobs in this state")
	cmd.Flags().IntVar(&limit, "limit", 100, "largest number of jobs")
	_ = cmd.RegisterFlagCompletionFunc("state", cobra.FixedCompletions(
		[]string{"pending", "running", "succeeded", "failed", "cancelled", "parked", "unknown"}, cobra.ShellCompDirectiveNoFileComp))
	return cmd
}

// listJobs reads up to limit jobs, page by page. It also reports whether there are more.
func (a *app) listJobs(ctx context.Context, params oas.ListJobsParams, limit int) (jobs []oas.Job, more bool, err error) {
	jobs = []oas.Job{}
	for {
		params.Limit = oas.NewOptInt(min(maxPageSize, limit-len(jobs)))
		page, err := call(ctx, a, readOnly, func(ctx context.Context, c *oas.Client) (*oas.JobPage, error) {
			return c.ListJobs(ctx, params)
		})
		if err != nil {
			return nil, false, err
		}
		jobs = append(jobs, page.Jobs...)
		next, ok := page.Next.Get()
		if !ok || next == "" || len(page.Jobs) == 0 || len(jobs) >= limit {
			return jobs, ok && next != "", nil
		}
		params.After = oas.NewOptString(next)
	}
}
