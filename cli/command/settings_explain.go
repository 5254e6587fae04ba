package command

import (
	"context"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newSettingsExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "explain DEPARTMENT KIND",
		Short:   "Show each effective value of a kind in a department and the node that sets it",
		Example: "  rhubarbstall settings explain head_office/regina checks",
		Args:    positionalArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			values, err := call(cmd.Context(), a, readOnly, func(ctx context.Context, c *oas.Client) ([]oas.EffectiveValue, error) {
				return c.ExplainSettings(ctx, oas.ExplainSettingsParams{Department: args[0], Kind: args[1]})
			})
			if err != nil {
				return err
			}
			t := &table{header: []string{"FIELD", "VALUE", "SET BY"}}
			for _, v := range values {
				t.add(v.Field, v.Value, v.Source)
			}
			return a.print(values, t)
		},
	}
}
