package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/settings"
)

func newSettingsDiff(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE [FILE]",
		Short: "Show which values a file would change in which departments, against the settings in force or another file",
		Args:  positionalArgs(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 2 {
				return a.diffFiles(args[0], args[1])
			}
			text, err := a.readFile(args[0])
			if err != nil {
				return err
			}
			text, _, _ = cutRevisionLine(text)
			current, err := a.currentSettings(cmd.Context())
			if err != nil {
				return err
			}
			result, err := a.dryRun(cmd.Context(), &oas.SettingsChange{ExpectedRevision: current.Revision, Document: string(text)})
			if err != nil {
				return err
			}
			return a.printChanges(result)
		},
	}
}

func (a *app) diffFiles(from, to string) error {
	old, _, err := a.parseFile(from)
	if err != nil {
		return fmt.Errorf("%s: %w", from, err)
	}
	next, _, err := a.parseFile(to)
	if err != nil {
		return fmt.Errorf("%s: %w", to, err)
	}
	return a.printChanges(&oas.SettingsResult{Changes: settings.Diff(old, next)})
}

// dryRun asks the server to check a change and list its effects without storing it.
func (a *app) dryRun(ctx context.Context, change *oas.SettingsChange) (*oas.SettingsResult, error) {
	check := *change
	check.DryRun = oas.NewOptBool(true)
	return call(ctx, a, readOnly, func(ctx context.Context, c *oas.Client) (*oas.SettingsResult, error) {
		return c.ApplySettings(ctx, &check)
	})
}

func (a *app) printChanges(result *oas.SettingsResult) error {
	if result.Changes == nil {
		result.Changes = []string{}
	}
	t := &table{empty: "no effective value changes"}
	for _, line := range result.Changes {
		t.add(line)
	}
	return a.print(result, t)
}
