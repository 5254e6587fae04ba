// Package runner simulates a runner for tests, the upstream that runs requests.
package runner

import (
	"fmt"
	"strings"
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/runner"
)

// Options configures a Runner. A field that is zero gets its default.
type Options struct {
	ID string
	// Slots is the number of requests that run at the same time; default wire.Slots.
	Slots int
	// ServiceTimes holds the service time of each kind.
	ServiceTimes map[string]time.Duration
	// DefaultServiceTime is the service time of other kinds; default 20 ms.
	DefaultServiceTime time.Duration
	// History receives the events; nil discards them.
	History *history.Writer
	// RefuseConnections makes the listener refuse or accept connections. If it is nil, the
	// control call "refuse" fails.
	RefuseConnections func(enabled bool) error
}

func (o *Options) setDefaults() {
	if o.Slots == 0 {
		o.Slots = wire.Slots
	}
	if o.DefaultServiceTime == 0 {
		o.DefaultServiceTime = 20 * time.Millisecond
	}
}

// ParseServiceTimes parses service times by kind, for example "preview=20ms,render=300ms".
func ParseServiceTimes(text string) (map[string]time.Duration, error) {
	times := make(map[string]time.Duration)
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		kind, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("service time %q is not of the form KIND=DURATION", part)
		}
		d, err := time.ParseDuration(value)
		if err != nil {
			return nil, fmt.Errorf("service time of %s: %w", kind, err)
		}
		times[kind] = d
	}
	return times, nil
}
