package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newJobsWhy(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "why JOB",
		Short: "Explain why a job is waiting",
		Args:  positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			why, err := call(cmd.Context(), a, readOnly, func(ctx context.Context, c *oas.Client) (*oas.Why, error) {
				return c.ExplainJob(ctx, oas.ExplainJobParams{ID: args[0]})
			})
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return a.printJSON(why)
			}
			if _, err := fmt.Fprintln(a.env.Stdout, why.Sentence); err != nil {
				return err
			}
			if account, ok := why.Account.Get(); ok {
				if _, err := fmt.Fprintf(a.env.Stdout, "client account: %s\n", account); err != nil {
					return err
				}
			}
			if len(why.Rejected) == 0 {
				return nil
			}
			t := &table{header: []string{"FILTER", "REJECTED WORKERS"}}
			for _, r := range why.Rejected {
				t.add(r.Filter, r.Workers)
			}
			return a.print(nil, t)
		},
	}
}
