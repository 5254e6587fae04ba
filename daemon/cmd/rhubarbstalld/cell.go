package main

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rhubarbstall.example/daemon/internal/entryvm"
	"rhubarbstall.example/daemon/internal/logsink"
	"rhubarbstall.example/daemon/internal/telemetry"
	"rhubarbstall.example/platform"
)

// cellCommand returns the command that runs an entry VM on the users' platform. It reads the
// platform's settings file.
func cellCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cell",
		Short: "Serve a cell on the users' platform until SIGTERM; " + platform.BootFileEnv + " names the settings file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			boot, err := platform.LoadBootConfig()
			if err != nil {
				return err
			}
			sink := logsink.New()
			defer sink.Close()
			first, _, stop := shutdownSignals(cmd.Context())
			defer stop()
			metrics, err := telemetry.SetupMetrics(boot.VM, boot.AvailabilityZone)
			if err != nil {
				return err
			}
			vm, err := entryvm.New(boot, newCellLogger(sink))
			if err != nil {
				return err
			}
			return vm.Run(first, metrics)
		},
	}
}

func newCellLogger(sink zapcore.WriteSyncer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), sink, zap.InfoLevel))
}
