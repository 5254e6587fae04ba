package command

import "github.com/spf13/cobra"

func newWorkers(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "workers",
		Short: "List and drain workers",
		Args:  positionalArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newWorkersList(a), newWorkersDrain(a))
	return cmd
}
