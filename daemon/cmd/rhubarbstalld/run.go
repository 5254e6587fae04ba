package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rhubarbstall.example/daemon/internal/app"
	"rhubarbstall.example/daemon/internal/config"
	"rhubarbstall.example/daemon/internal/telemetry"
)

func runCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Serve callers until SIGTERM; a second signal exits at once",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			return run(cmd.Context(), cfg)
		},
	}
	configFlag(cmd, &path)
	return cmd
}

func run(ctx context.Context, cfg *config.Config) (err error) {
	tel, err := telemetry.Setup(cfg)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, tel.Close(context.WithoutCancel(ctx))) }()
	a, err := app.New(cfg, tel)
	if err != nil {
		return err
	}
	first, second, stop := shutdownSignals(ctx)
	defer stop()
	return a.Run(first, second)
}

// shutdownSignals returns a context that ends with the first SIGTERM or SIGINT and one that
// ends with the second. stop releases the signal handler.
func shutdownSignals(ctx context.Context) (first, second context.Context, stop func()) {
	first, cancelFirst := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for _, cancel := range []context.CancelFunc{cancelFirst, cancelSecond} {
			select {
			case <-signals:
				cancel()
			case <-ctx.Done():
				return
			}
		}
	}()
	return first, second, func() {
		signal.Stop(signals)
		cancelFirst()
		cancelSecond()
	}
}
