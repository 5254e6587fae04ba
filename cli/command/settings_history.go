package command

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newSettingsHistory(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the last accepted changes, newest first",
		Args:  positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			marks, err := call(cmd.Context(), a, readOnly, func(ctx context.Context, c *oas.Client) ([]oas.SettingsMark, error) {
				return c.ListSettingsHistory(ctx)
			})
			if err != nil {
				return err
			}
			t := &table{header: []string{"REVISION", "TIME", "AUTHOR", "COMMENT"}, empty: "no change was stored yet"}
			for _, m := range marks {
				t.add(m.Revision, m.At.UTC().Format(time.RFC3339), m.Author.Or("-"), m.Comment.Or(""))
			}
			return a.print(marks, t)
		},
	}
}
