package entryvm

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/operatorconfig"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
)

const (
	// watchWait is how long the store holds a watch open for a change. The call times out
	// watchSlack later. The store may drop a waiting watch without a response, so the sum
	// limits how late a change is noticed.
	watchWait     = 600 * time.Millisecond
	watchSlack    = 400 * time.Millisecond
	retryInterval = 150 * time.Millisecond
	// readTimeout limits the first attempt to read the configuration. One of 500 kB takes longer on a busy link of 10
	// Mbit/s, so the timeout doubles with each attempt that fails, up to maxReadTimeout. That is below the 3 s after which
	// changes have to be in force once a silent store answers again.
	readTimeout    = time.Second
	maxReadTimeout = 2500 * time.Millisecond
)

// watchConfig watches the operator's configuration in the store until ctx ends and offers each version that it reads to
// config.
func watchConfig(ctx context.Context, store *platform.Store, log *zap.Logger, config *operatorconfig.Current) {
	timeout := readTimeout
	for ctx.Err() == nil {
		revision, err := readConfig(ctx, store, config, timeout)
		if err == nil {
			timeout = readTimeout
		} else {
			timeout = min(2*timeout, maxReadTimeout)
		}
		for err == nil && ctx.Err() == nil {
			revision, err = awaitConfigChange(ctx, store, revision, config)
		}
		if ctx.Err() == nil {
			if platform.StatusOf(err) != http.StatusGone {
				log.Warn("[config] cannot read the configuration from the store; will retry", zap.Error(err))
			}
			wait.For(ctx, retryInterval)
		}
	}
}

// readConfig reads the current configuration and returns the store's revision.
func readConfig(ctx context.Context, store *platform.Store, config *operatorconfig.Current, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := config.Now()
	page, err := store.Range(ctx, platform.ConfigKey, "")
	if err == nil {
		offerConfigs(page.Items, config)
	}
	config.ObserveStore(sent, err == nil)
	return page.Revision, err
}

// awaitConfigChange reads the changes after a revision and returns the revision from which the next watch continues.
func awaitConfigChange(ctx context.Context, store *platform.Store, revision int64, config *operatorconfig.Current) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	sent := config.Now()
	items, next, err := store.Watch(ctx, platform.ConfigKey, revision, watchWait)
	if err == nil {
		offerConfigs(items, config)
	}
	config.ObserveStore(sent, err == nil)
	return next, err
}

// offerConfigs offers the versions of the configuration among the items.
func offerConfigs(items []platform.Item, config *operatorconfig.Current) {
	for _, item := range items {
		if item.Key == platform.ConfigKey && !item.Deleted {
			config.Offer(item.Value, item.Revision, operatorconfig.Origin{})
		}
	}
}
