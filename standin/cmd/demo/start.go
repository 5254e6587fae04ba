package main

import (
	"context"
	_ "embed"
	"fmt"

	"golang.org/x/sync/errgroup"

	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/cluster"
)

const (
	workersPerZone = 4
	runnersPerZone = 3
	entriesPerZone = 2
)

var zones = []string{"regina", "saskatoon"}

//go:embed settings.jsonc
var settingsDocument string

// startAll starts all processes, applies the settings and waits until every entry
// VM is ready.
func startAll(ctx context.Context, c *cluster.Cluster) error {
	if err := c.StartPlatform(); err != nil {
		return err
	}
	for _, zone := range zones {
		for i := range workersPerZone {
			name := fmt.Sprintf("%s-worker-%d", zone, i+1)
			rack := fmt.Sprintf("%s-rack-%d", zone, i/2+1)
			// A started worker grants no owner lease until its maximum owner lease has
			// passed. The owner lease of the settings is 3 s, so a maximum of 3 s suffices.
			if err := c.StartWorker(name, zone, rack, "-max-owner-lease", "3s", "-milli-cpu", "16000", "-memory-mb", "65536"); err != nil {
				return err
			}
		}
		for i := range runnersPerZone {
			if err := c.StartRunner(fmt.Sprintf("%s-runner-%d", zone, i+1), zone, "-service", "check=15ms,proof=60ms"); err != nil {
				return err
			}
		}
	}
	for _, zone := range zones {
		for i := range entriesPerZone {
			if err := c.StartEntry(cluster.EntryOptions{Name: fmt.Sprintf("%s-entry-%d", zone, i+1), Zone: zone}); err != nil {
				return err
			}
		}
	}
	return applySettings(ctx, c)
}

// applySettings applies the first settings and waits until every entry VM is ready
// and knows the other entry VMs and the runners of its zone. An entry VM is not ready
// before it has settings, so applySettings first waits until each one answers at all.
func applySettings(ctx context.Context, c *cluster.Cluster) error {
	if err := awaitAll(ctx, c, true); err != nil {
		return err
	}
	ca, err := caller.New(c.Entries(), nil)
	if err != nil {
		return err
	}
	if err := ca.ApplyEverywhere(ctx, settingsDocument, "first settings"); err != nil {
		return err
	}
	if err := awaitAll(ctx, c, false); err != nil {
		return err
	}
	if err := ca.AwaitVMs(ctx, len(c.Entries())); err != nil {
		return err
	}
	return ca.AwaitUpstreams(ctx, runnersPerZone)
}

// awaitAll waits until all entry VMs are ready or, with anyStatus, until all answer.
func awaitAll(ctx context.Context, c *cluster.Cluster, anyStatus bool) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range c.Entries() {
		g.Go(func() error { return c.AwaitReady(ctx, e.Name, anyStatus) })
	}
	return g.Wait()
}
