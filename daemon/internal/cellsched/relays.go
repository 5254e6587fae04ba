package cellsched

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/sched/relays"
)

const (
	// relayWait is how long a new scheduler waits for its relays before it calls runners itself.
	relayWait = time.Second
	// relayRetryDelay is the pause before a renewal is repeated after the loss of its relay.
	relayRetryDelay = 20 * time.Millisecond
)

// RelaySettings is what a scheduler needs to have other VMs make its calls to runners.
type RelaySettings struct {
	// OwnCores is the capacity of this VM in cores.
	OwnCores float64
	// Candidates returns the other VMs that may relay calls.
	Candidates func() []relays.VM
	// Exchange sends a batch of calls to a VM.
	Exchange func(ctx context.Context, to relays.VM, b *relay.Batch) (*relay.Reply, error)
	Clock    relay.Clock
}

// startRelays makes the calls to runners go through relays.
func (s *Scheduler) startRelays() {
	set := s.settings.Relays
	if set == nil {
		return
	}
	pool := relay.NewPool(s.ctx, relay.Config{
		Session: fmt.Sprintf("%s/%d", s.settings.VM, s.term.Number), FencingToken: s.term.Number, OwnCores: set.OwnCores,
		Candidates: set.Candidates, Runners: s.runnerCount, Exchange: set.Exchange, Clock: set.Clock, MayAct: s.mayAct,
		Direct: s.runners, Log: s.log,
	})
	// Operators and other VMs may ask for the relays of a scheduler that is being started.
	s.exclusive(func() { s.relays, s.runners = pool, pool })
	s.spawn(pool.Run)
}

// awaitRelays waits for the relays of the listed runners.
func (s *Scheduler) awaitRelays() {
	if s.relays != nil {
		s.relays.WaitReady(relayWait)
	}
}

// runnerCount returns the number of runners, which have loops once their listing is applied.
func (s *Scheduler) runnerCount() int {
	s.mu.Lock()
	defer s.unlock()
	if len(s.runnerLoops) == 0 {
		return int(s.listedRunners.Load())
	}
	return len(s.runnerLoops)
}

// RelayCandidates returns the other VMs that may relay calls to runners for a scheduler on this VM.
func (c *Client) RelayCandidates() []relays.VM {
	all := c.directory.All(time.Now())
	out := make([]relays.VM, 0, len(all))
	for _, a := range all {
		out = append(out, relays.VM{Name: a.VM, Addr: a.Addr, Cores: a.Capacity})
	}
	return out
}

// ExchangeWithRelay sends a batch of calls to a relay and returns its reply.
func (c *Client) ExchangeWithRelay(ctx context.Context, to relays.VM, b *relay.Batch) (*relay.Reply, error) {
	r, err := peer.Call[relay.Batch, relay.Reply](ctx, c.peers, to.Addr, methodRelay, b)
	if errors.Is(err, peer.ErrNoReply) {
		c.peers.CloseIfSilent(to.Addr, silentConnectionTimeout)
	}
	return r, err
}
