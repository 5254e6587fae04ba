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
	checkInterval = 20 * time.Millisecond
	proofInterval = 150 * time.Millisecond
	// settingsLimit is the time in which an accepted change is in force everywhere.
	settingsLimit = 3 * time.Second
	// pollRevision bounds the wait for a revision, above the limit to measure a miss.
	pollRevision = 10 * time.Second
)

// driver sends the load of the demo.
type driver struct {
	cluster *cluster.Cluster
	caller  *caller.Caller
	results *results
	load    time.Duration
}

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

func department(n int) string {
	if n%2 == 0 {
		return "head_office/brandon"
	}
	return "head_office/estevan"
}

// requests sends at a fixed rate until loadCtx ends and waits for all outcomes.
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

// faults changes the settings after a quarter of the load and kills an entry VM
// in the middle.
func (d *driver) faults(ctx context.Context) {
	if !sleep(ctx, d.load/4) {
		return
	}
	d.changeSettings(ctx)
	if !sleep(ctx, d.load/4) {
		return
	}
	victim := d.caller.Entries()[0].Name
	p, err := d.cluster.Process(victim)
	if err != nil {
		d.results.fail("%v", err)
		return
	}
	p.Kill()
	fmt.Println("killed entry VM", victim)
}

func (d *driver) changeSettings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollRevision)
	defer cancel()
	revision, err := d.caller.Apply(ctx, document+"// Second revision.\n", "second settings")
	if err != nil {
		d.results.fail("P8 %v", err)
		return
	}
	var waits sync.WaitGroup
	for i, e := range d.caller.Entries() {
		waits.Go(func() {
			took, err := d.caller.AwaitRevision(ctx, i, revision)
			d.results.inForce(took)
			if err != nil || took > settingsLimit {
				d.results.fail("P8 settings were not in force on %s after %v", e.Name, settingsLimit)
			}
		})
	}
	waits.Wait()
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// settled tells whether a request came to an end that its kind allows: only a
// request that may run at most once may end with an unknown outcome.
func settled(kind, outcome string) bool {
	return outcome == history.OutcomeAnswered || kind == "proof" && outcome == history.OutcomeUnknown
}
