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

// settingsFile is the name of the file in a script that replaces the default settings.
const settingsFile = "settings.jsonc"

// zoneNames lists the availability zones in order of use. The first letter of a zone
// is the prefix of the names of its VMs.
var zoneNames = []string{"regina", "saskatoon", "winnipeg", "calgary"}

// defaultRunners is the default number of runners per zone.
const defaultRunners = 2

// cmdCluster starts a deployment, applies the settings and waits until every entry VM
// is ready.
func (s *scenario) cmdCluster(ts *testscript.TestScript, words []string) error {
	if s.cluster != nil {
		return fmt.Errorf("the script has already started a deployment")
	}
	a, err := parse(words, 0)
	if err != nil {
		return err
	}
	if err := a.check("zones", "entries", "workers", "runners", "relay", "vm-lag", "cpu", "memory", "log"); err != nil {
		return err
	}
	if s.cluster, err = cluster.New(s.bin, ts.MkAbs("cluster")); err != nil {
		return err
	}
	if err := s.startStandIns(a); err != nil {
		return err
	}
	if err := s.startEntries(a); err != nil {
		return err
	}
	if s.caller, err = s.cluster.Caller(); err != nil {
		return err
	}
	if len(s.caller.Entries()) == 0 {
		return nil
	}
	ts.Setenv("RHUBARBSTALL_SERVER", serverList(s.caller.Entries()))
	document := defaultSettings
	if text, err := os.ReadFile(ts.MkAbs(settingsFile)); err == nil {
		document = string(text)
	}
	zones, _ := a.number("zones", 1)
	document = strings.ReplaceAll(document, "$ZONES", `"`+strings.Join(zoneNames[:zones], `", "`)+`"`)
	runners, _ := a.number("runners", defaultRunners)
	return s.applySettings(document, runners)
}

// startStandIns starts the platform and the workers and runners of each zone.
func (s *scenario) startStandIns(a arguments) error {
	if err := s.cluster.StartPlatform("-vm-lag", a.text("vm-lag", "200ms")); err != nil {
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
			if err := s.startWorker(name, zone, rack, a); err != nil {
				return err
			}
		}
		for i := range runners {
			name := fmt.Sprintf("%s-runner-%d", prefix, i+1)
			s.restart[name] = func() error { return s.cluster.StartRunner(name, zone) }
			if err := s.restart[name](); err != nil {
				return err
			}
		}
		return nil
	})
}

// startEntries starts the entry VMs of each zone, and the relays that the argument
// "relay" names: "platform", "peer" or both.
func (s *scenario) startEntries(a arguments) error {
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
				if o.Platform, err = s.cluster.StartRelay(o.Name+"-platform", s.cluster.PlatformAddr()); err != nil {
					return err
				}
			}
			o.PeerRelay = strings.Contains(a.text("relay", ""), "peer")
			s.restart[o.Name] = func() error { return s.cluster.StartEntry(o) }
			if err := s.cluster.StartEntry(o); err != nil {
				return err
			}
		}
		return nil
	})
}

// eachZone calls start for each zone of the deployment.
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

// applySettings applies the settings and waits until every entry VM is ready and
// knows the other entry VMs and the runners of its zone. It records no events in the
// history.
func (s *scenario) applySettings(document string, runners int) error {
	ctx, cancel := context.WithTimeout(s.ctx, defaultWaitTimeout)
	defer cancel()
	if err := s.awaitReady(ctx, true); err != nil {
		return err
	}
	unrecorded, err := caller.New(s.cluster.Entries(), nil)
	if err != nil {
		return err
	}
	if err := unrecorded.ApplyEverywhere(ctx, document, "scenario"); err != nil {
		return err
	}
	if err := s.awaitReady(ctx, false); err != nil {
		return err
	}
	if err := unrecorded.AwaitVMs(ctx, len(s.cluster.Entries())); err != nil {
		return err
	}
	return unrecorded.AwaitUpstreams(ctx, runners)
}

// awaitReady waits until all entry VMs are ready or, with anyStatus, until all answer.
func (s *scenario) awaitReady(ctx context.Context, anyStatus bool) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range s.cluster.Entries() {
		g.Go(func() error { return s.cluster.AwaitReady(ctx, e.Name, anyStatus) })
	}
	return g.Wait()
}

// serverList returns the API URLs in the form that the operator CLI reads from
// RHUBARBSTALL_SERVER.
func serverList(entries []caller.Entry) string {
	urls := make([]string, 0, len(entries))
	for _, e := range entries {
		urls = append(urls, "http://"+e.Addr)
	}
	return strings.Join(urls, ",")
}
