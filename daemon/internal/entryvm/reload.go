package entryvm

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
)

// reloadInterval is the interval at which the settings file is read again without a signal.
const reloadInterval = 5 * time.Second

// reloadSettings reads the settings file again on SIGHUP and every reloadInterval. Of the new
// settings only the grace period takes effect; all others stay as they were at the start.
func (v *VM) reloadSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			v.log.Info("[vm] reloading the settings file on SIGHUP")
		case <-tick.C:
		}
		next, err := platform.LoadBootConfig()
		if err != nil {
			v.log.Error("[vm] cannot load the settings file; previous settings stay in force", zap.Error(err))
			continue
		}
		if old := v.settings.Swap(next); *old != *next {
			v.log.Info("[vm] settings changed", zap.Any("old", old), zap.Any("new", next))
		}
	}
}
