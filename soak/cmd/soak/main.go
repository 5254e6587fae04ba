// Command soak plays seeded runs of real daemons under faults.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"rhubarbstall.example/soak/play"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

// flags are the flags of soak run.
type flags struct {
	from, to uint64
	jobs     int
	program  string
	dir      string
	traffic  time.Duration
	every    time.Duration
	vms      int
	runners  int
	accounts bool
}

func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "soak", SilenceUsage: true}
	var f flags
	run := &cobra.Command{
		Use: "run", Short: "Play seeded runs; fails if one breaks a promise", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	run.Flags().Uint64Var(&f.from, "from", 1, "first seed")
	run.Flags().Uint64Var(&f.to, "to", 1, "last seed")
	run.Flags().IntVar(&f.jobs, "jobs", 1, "runs at the same time")
	run.Flags().StringVar(&f.program, "program", "bin/rhubarbstalld", "the daemon")
	run.Flags().StringVar(&f.dir, "dir", "", "keeps logs and reports here; a temporary folder if empty")
	run.Flags().DurationVar(&f.traffic, "traffic", 20*time.Second, "how long jobs are submitted and faults begin")
	run.Flags().DurationVar(&f.every, "every", 100*time.Millisecond, "time between two jobs")
	run.Flags().IntVar(&f.vms, "vms", 4, "VMs")
	run.Flags().IntVar(&f.runners, "runners", 10, "runners")
	run.Flags().BoolVar(&f.accounts, "accounts", false, "client accounts, whose API keys change while VMs are cut off or killed")
	root.AddCommand(run, newReplayCommand(), newMinimizeCommand())
	return root
}

func (f *flags) run(cmd *cobra.Command) error {
	dir := f.dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
	}
	var group errgroup.Group
	group.SetLimit(max(1, f.jobs))
	var broken atomic.Int64
	for seed := f.from; seed <= f.to; seed++ {
		group.Go(func() error {
			result, err := play.Run(cmd.Context(), play.Options{
				Seed: seed, Program: f.program, Dir: filepath.Join(dir, fmt.Sprint(seed)), Traffic: f.traffic, SubmitEvery: f.every, VMs: f.vms, Runners: f.runners,
				Relays: seed%2 == 1, Accounts: f.accounts,
			})
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			if len(result.Broken) > 0 {
				broken.Add(1)
			}
			cmd.Println(result)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	cmd.Printf("%d of %d runs broke a promise; logs and reports in %s\n", broken.Load(), f.to-f.from+1, dir)
	if broken.Load() > 0 {
		return fmt.Errorf("%d runs broke a promise", broken.Load())
	}
	return nil
}
