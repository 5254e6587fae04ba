package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"rhubarbstall.example/soak/play"
)

// newReplayCommand returns the command that plays the run of a folder again.
func newReplayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "replay DIR", Short: "Play the run of a folder again, in a folder beside its files", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := play.LoadOptions(args[0])
			if err != nil {
				return err
			}
			o.Dir = filepath.Join(args[0], "replay-"+time.Now().Format("150405"))
			result, err := play.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			cmd.Println(result)
			if len(result.Broken) > 0 {
				return fmt.Errorf("the run broke a promise; see %s", o.Dir)
			}
			return nil
		},
	}
}

// newMinimizeCommand returns the command that looks for a smaller run that fails as the run of a folder.
func newMinimizeCommand() *cobra.Command {
	tries := 0
	cmd := &cobra.Command{
		Use: "minimize DIR", Short: "Drop the faults and jobs that the failure of a run does not need", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := play.LoadOptions(args[0])
			if err != nil {
				return err
			}
			o.Dir = args[0]
			o, err = play.Minimize(cmd.Context(), o, tries, func(line string) { cmd.Println(line) })
			cmd.Printf("smallest run: --seed %d without the faults %v and the jobs %v\n", o.Seed, o.SkipFaults, o.SkipJobs)
			return err
		},
	}
	cmd.Flags().IntVar(&tries, "tries", 2, "plays without a failure after which a part counts as needed")
	return cmd
}
