package scenario

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/cluster"
)

//go:embed settings.jsonc
var defaultSettings string

// settingsFile is the file of a script that replaces the default settings.
const settingsFile = "settings.jsonc"

// zoneNames are the availability zones in order of use; the one-letter names
// are the prefix of the names of VMs.
var zoneNames = []string{"regina", "saskatoon", "winnipeg", "calgary"}

// defaultRunners is the number of runners of a zone.
const defaultRunners = 2

// cmdCluster starts a deployment and waits until every entry VM is ready.
func (w *world) cmdCluster(ts *testscript.TestScript, words []string) error {
	if w.cluster != nil {
		return fmt.Errorf("the deployment is already started")
	}
	a, err := parse(words, 0)
	if err != nil {
		return err
	}
	if err := a.check("zones", "entries", "workers", "runners", "relay", "vm-lag", "cpu", "memory", "log"); err != nil {
		return err
	}
	if w.cluster, err = cluster.New(w.bin, ts.MkAbs("cluster")); err != nil {
		return err
	}
	if err := w.startStandIns(a); err != nil {
		return err
	}
	if err := w.startEntries(a); err != nil {
		return err
	}
	if w.caller, err = w.cluster.Caller(); err != nil {
		return err
	}
	if len(w.caller.Entries()) == 0 {
		return nil
	}
	ts.Setenv("RHUBARBSTALL_SERVER", serverList(w.caller.Entries()))
	document := defaultSettings
	if text, err := os.ReadFile(ts.MkAbs(settingsFile)); err == nil {
		document = string(text)
	}
	zones, _ := a.number("zones", 1)
	document = strings.ReplaceAll(document, "$ZONES", `"`+strings.Join(zoneNames[:zones], `", "`)+`"`)
	runners, _ := a.number("runners", defaultRunners)
	return w.settle(document, runners)
}

func (w *world) startStandIns(a arguments) error {
	if err := w.cluster.StartPlatform("-vm-lag", a.text("vm-lag", "200ms")); err != nil {
		return err
	}
	workers, err := a.number("workers", 4)
	if err != nil {
		return err
	}
	runners, err := a.number("runners", defaultRunners)
	if err != nil {
		return err
	}
	return eachZone(a, func(prefix, zone string) error {
		for i := range workers {
			name := fmt.Sprintf("%s-worker-%d", prefix, i+1)
			rack := fmt.Sprintf("%s-rack-%d", prefix, i/2+1)
			if err := w.startWorker(name, zone, rack, a); err != nil {
				return err
			}
		}
		for i := range runners {
			name := fmt.Sprintf("%s-runner-%d", prefix, i+1)
			w.restart[name] = func() error { return w.cluster.StartRunner(name, zone) }
			if err := w.restart[name](); err != nil {
				return err
			}
		}
		return nil
	})
}

func (w *world) startEntries(a arguments) error {
	entries, err := a.number("entries", 2)
	if err != nil {
		return err
	}
	return eachZone(a, func(prefix, zone string) error {
		for i := range entries {
			o := cluster.EntryOptions{
				Name: fmt.Sprintf("%s-entry-%d", prefix, i+1), Zone: zone, LogLevel: a.text("log", "info"),
			}
			if strings.Contains(a.text("relay", ""), "platform") {
				if o.Platform, err = w.cluster.StartRelay(o.Name+"-platform", w.cluster.PlatformAddr()); err != nil {
					return err
				}
			}
			o.PeerRelay = strings.Contains(a.text("relay", ""), "peer")
			w.restart[o.Name] = func() error { return w.cluster.StartEntry(o) }
			if err := w.cluster.StartEntry(o); err != nil {
				return err
			}
		}
		return nil
	})
}

func eachZone(a arguments, start func(prefix, zone string) error) error {
	zones, err := a.number("zones", 1)
	if err != nil {
		return err
	}
	for _, zone := range zoneNames[:zones] {
		if err := start(zone[:1], zone); err != nil {
			return err
		}
	}
	return nil
}

// settle applies the settings and waits until every entry VM is ready and knows
// the others and the runners of its zone.
func (w *world) settle(document string, runners int) error {
	ctx, cancel := context.WithTimeout(w.ctx, waitLimit)
	defer cancel()
	if err := w.awaitReady(ctx, true); err != nil {
		return err
	}
	quiet, err := caller.New(w.cluster.Entries(), nil)
	if err != nil {
		return err
	}
	if err := quiet.ApplyEverywhere(ctx, document, "scenario"); err != nil {
		return err
	}
	if err := w.awaitReady(ctx, false); err != nil {
		return err
	}
	if err := quiet.AwaitVMs(ctx, len(w.cluster.Entries())); err != nil {
		return err
	}
	return quiet.AwaitUpstreams(ctx, runners)
}

func (w *world) awaitReady(ctx context.Context, anyStatus bool) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range w.cluster.Entries() {
		g.Go(func() error { return w.cluster.AwaitReady(ctx, e.Name, anyStatus) })
	}
	return g.Wait()
}

// serverList is the form in which the operators' client takes its servers.
func serverList(entries []caller.Entry) string {
	urls := make([]string, 0, len(entries))
	for _, e := range entries {
		urls = append(urls, "http://"+e.Addr)
	}
	return strings.Join(urls, ",")
}
