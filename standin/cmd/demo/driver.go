package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/cluster"
	"rhubarbstall.example/standin/history"
)

const (
	// checkInterval and proofInterval are the intervals between requests of the kinds
	// "check" and "proof".
	checkInterval = 20 * time.Millisecond
	proofInterval = 150 * time.Millisecond
	// propagationLimit is the time within which promise P8 of docs/design.md requires that
	// an accepted settings change is in force on all entry VMs.
	propagationLimit = 3 * time.Second
	// propagationTimeout limits the wait for a settings revision. It is longer than
	// propagationLimit, so that the duration of a late change is measured.
	propagationTimeout = 10 * time.Second
)

// driver sends the load of the demo and injects its faults.
type driver struct {
	cluster *cluster.Cluster
	caller  *caller.Caller
	results *results
	load    time.Duration
}

// run sends requests and jobs, and injects the faults while it does so. It returns
// when all requests and jobs have ended.
func (d *driver) run(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, d.load)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() {
		d.requests(ctx, loadCtx, checkInterval, func(n int) caller.Request {
			return caller.Request{Kind: "check", Department: department(n), Body: fmt.Appendf(nil, `{"name":"check %d"}`, n)}
		})
	})
	all.Go(func() {
		d.requests(ctx, loadCtx, proofInterval, func(n int) caller.Request {
			return caller.Request{
				Kind: "proof", Department: department(n), Body: fmt.Appendf(nil, `{"name":"proof %d"}`, n),
				Key: fmt.Sprintf("proof-%d", n), NoRepeat: true,
			}
		})
	})
	all.Go(func() { d.jobs(ctx) })
	all.Go(func() { d.faults(loadCtx) })
	all.Wait()
	return ctx.Err()
}

// department alternates between two departments.
func department(n int) string {
	if n%2 == 0 {
		return "head_office/brandon"
	}
	return "head_office/estevan"
}

// requests sends one request per interval until loadCtx is done, then waits for the
// outcomes of all requests.
func (d *driver) requests(ctx, loadCtx context.Context, interval time.Duration, request func(n int) caller.Request) {
	var sent sync.WaitGroup
	t := time.NewTicker(interval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-loadCtx.Done():
			sent.Wait()
			return
		case <-t.C:
			sent.Go(func() {
				r := request(n)
				d.results.request(r.Kind, d.caller.SendUntilSettled(ctx, r))
			})
		}
	}
}

// faults changes the settings after a quarter of the load time and kills an entry VM
// after half of it.
func (d *driver) faults(ctx context.Context) {
	if !sleep(ctx, d.load/4) {
		return
	}
	d.changeSettings(ctx)
	if !sleep(ctx, d.load/4) {
		return
	}
	name := d.caller.Entries()[0].Name
	p, err := d.cluster.Process(name)
	if err != nil {
		d.results.fail("%v", err)
		return
	}
	p.Kill()
	fmt.Println("killed entry VM", name)
}

// changeSettings applies a second revision and measures how long each entry VM takes
// to have it in force.
func (d *driver) changeSettings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	revision, err := d.caller.Apply(ctx, settingsDocument+"// Second revision.\n", "second settings")
	if err != nil {
		d.results.fail("P8 %v", err)
		return
	}
	var waits sync.WaitGroup
	for i, e := range d.caller.Entries() {
		waits.Go(func() {
			took, err := d.caller.AwaitRevision(ctx, i, revision)
			d.results.settingsInForce(took)
			if err != nil || took > propagationLimit {
				d.results.fail("P8 settings were not in force on %s after %v", e.Name, propagationLimit)
			}
		})
	}
	waits.Wait()
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// outcomeAllowed reports whether the kind of a request allows the outcome. An
// unknown outcome is allowed only for kind "proof", whose requests are marked
// no_repeat.
func outcomeAllowed(kind, outcome string) bool {
	return outcome == history.OutcomeAnswered || kind == "proof" && outcome == history.OutcomeUnknown
}
