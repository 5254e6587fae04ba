package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newSettingsGet(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Print the settings in force, with their revision in the first line",
		Args:  positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := a.currentSettings(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return a.printJSON(s)
			}
			text := withRevisionLine(s.Document, s.Revision)
			_, err = fmt.Fprintln(a.env.Stdout, strings.TrimRight(text, "\n"))
			return err
		},
	}
}

func (a *app) currentSettings(ctx context.Context) (*oas.Settings, error) {
	return call(ctx, a, readOnly, func(ctx context.Context, c *oas.Client) (*oas.Settings, error) {
		return c.GetSettings(ctx)
	})
}
