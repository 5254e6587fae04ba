package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"rhubarbstall.example/daemon/internal/config"
	"rhubarbstall.example/platform"
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
	var path, cell string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file without starting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cell != "" {
				return checkCellSettings(cmd, cell)
			}
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: entry VM %s in availability zone %s\n", path, cfg.ID, cfg.AvailabilityZone)
			return nil
		},
	}
	cmd.Flags().StringVar(&path, configFlagName, "", configFlagUsage)
	cmd.Flags().StringVar(&cell, "cell", "", "settings file in the format of the users' platform")
	cmd.MarkFlagsOneRequired(configFlagName, "cell")
	cmd.MarkFlagsMutuallyExclusive(configFlagName, "cell")
	return cmd
}

// checkCellSettings checks a settings file in the platform's format and prints a summary.
func checkCellSettings(cmd *cobra.Command, path string) error {
	boot, err := platform.ReadBootConfig(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: entry VM %s in availability zone %s; clients %s, readiness %s, peers on port %d, operators and metrics on port %d, store %s\n",
		path, boot.VM, boot.AvailabilityZone, boot.ClientAddr, boot.ReadyAddr, boot.PeerPort, boot.MetricsPort, boot.StoreAddr)
	return err
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

const (
	configFlagName  = "config"
	configFlagUsage = "settings file of this entry VM, JSON with comments"
)

func configFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, configFlagName, "", configFlagUsage)
	if err := cmd.MarkFlagRequired(configFlagName); err != nil {
		panic(err) // Cannot happen: the flag was defined on the line above.
	}
}
