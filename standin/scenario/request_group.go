package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/history"
)

// requestGroup holds the results of the requests that one "request" command sends,
// under the name that the command gives them.
type requestGroup struct {
	name string
	// done is closed when the last request has ended.
	done chan struct{}

	mu   sync.Mutex
	sent int
	// repeated counts the answers that were recorded for an earlier submission.
	repeated int
	outcomes map[string]int
	codes    map[codes.Code]int
	// waitsMS holds the time from arrival to dispatch of each answered request.
	waitsMS []float64
}

func newRequestGroup(name string) *requestGroup {
	return &requestGroup{
		name: name, done: make(chan struct{}),
		outcomes: make(map[string]int), codes: make(map[codes.Code]int),
	}
}

// sendOptions describes how the requests of a group are sent.
type sendOptions struct {
	count    int
	interval time.Duration
	// entry is the index of the entry VM, or negative to use the entry VMs in turn.
	entry int
	// settled makes each request be submitted again until its outcome is final.
	settled bool
	// request returns the request with number n.
	request func(n int) caller.Request
}

// run sends the requests and returns when the last of them has ended.
func (g *requestGroup) run(ctx context.Context, c *caller.Caller, o sendOptions) {
	defer close(g.done)
	var all sync.WaitGroup
	defer all.Wait()
	for n := range o.count {
		if n > 0 && o.interval > 0 {
			select {
			case <-time.After(o.interval):
			case <-ctx.Done():
				return
			}
		}
		all.Go(func() {
			if o.settled {
				g.add(c.SendUntilSettled(ctx, o.request(n)))
				return
			}
			entry := o.entry
			if entry < 0 {
				entry = c.NextEntry()
			}
			g.add(c.Send(ctx, entry, o.request(n)))
		})
	}
}

// add adds the result of one request.
func (g *requestGroup) add(r caller.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	g.outcomes[r.Outcome]++
	if r.Code != 0 {
		g.codes[r.Code]++
	}
	if r.Answer != nil {
		g.waitsMS = append(g.waitsMS, r.WaitMillis)
		if r.Answer.Repeated.Or(false) {
			g.repeated++
		}
	}
}

// figure returns a count or wait time (in ms) of the group by its name in an "expect"
// command.
func (g *requestGroup) figure(name string) (float64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch name {
	case "sent":
		return float64(g.sent), nil
	case "repeated":
		return float64(g.repeated), nil
	case history.OutcomeAnswered, history.OutcomeNotRun, history.OutcomeInProgress,
		history.OutcomeUnknown, history.OutcomeUnsent:
		return float64(g.outcomes[name]), nil
	case "wait_p50":
		return quantile(g.waitsMS, 0.5), nil
	case "wait_p99":
		return quantile(g.waitsMS, 0.99), nil
	}
	var code codes.Code
	if _, err := fmt.Sscanf(name, "code_%d", &code); err == nil {
		return float64(g.codes[code]), nil
	}
	return 0, fmt.Errorf("requests have no figure %q", name)
}

// summary returns the counts of the group as text for an error message.
func (g *requestGroup) summary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%s: sent %d, outcomes %v, codes %v", g.name, g.sent, g.outcomes, g.codes)
}

// quantile returns the q-quantile by the nearest-rank method, or 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(q*float64(len(sorted))+0.5) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// body returns a request body that is unique to the name and number of the request and
// that tells the runner how to behave.
func body(name string, n int, behavior map[string]any) []byte {
	content := map[string]any{"name": fmt.Sprintf("%s %d", name, n)}
	for k, v := range behavior {
		content[k] = v
	}
	text, err := json.Marshal(content)
	if err != nil {
		panic(err) // Numbers, booleans and strings can always be encoded.
	}
	return text
}
