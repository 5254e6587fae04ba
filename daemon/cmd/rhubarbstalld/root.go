package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"rhubarbstall.example/daemon/internal/config"
)

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "rhubarbstalld",
		Short:         "Daemon of an entry VM",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), cellCommand(), checkCommand(), versionCommand())
	return root
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file without starting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: entry VM %s in availability zone %s\n", path, cfg.ID, cfg.AvailabilityZone)
			return nil
		},
	}
	configFlag(cmd, &path)
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			fmt.Fprintln(cmd.OutOrStdout(), "rhubarbstalld", version)
		},
	}
}

func configFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "config", "", "settings file of this entry VM, JSON with comments")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // The flag was defined one line above.
	}
}
