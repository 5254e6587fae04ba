package command

import "github.com/spf13/cobra"

func newSettings(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Read and change the settings",
		Args:  positionalArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(
		newSettingsGet(a), newSettingsExplain(a), newSettingsDiff(a),
		newSettingsApply(a), newSettingsHistory(a), newSettingsCheck(a),
	)
	return cmd
}
