package cellsched

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/relays"
)

// relayFixture is the relay of one VM, which others reach over the simulated network.
type relayFixture struct {
	server  *relay.Server
	client  *http.Client
	freezer *freezer
}

func relayAddr(vm string) string { return vm + "-relay:80" }

func newRelayFixture(runners *platform.Runners, dial platform.Dial, clock relay.Clock, sim *loadSim, vm *loadVM) *relayFixture {
	return &relayFixture{
		server: relay.NewServer(runners, clock, sim.logger(vm)),
		client: &http.Client{Transport: &http.Transport{DialContext: dial}}, freezer: vm.freezer,
	}
}

// ServeHTTP implements http.Handler.
func (f *relayFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b relay.Batch
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.freezer.wait()
	reply := f.server.Exchange(r.Context(), &b)
	f.freezer.wait()
	_ = json.NewEncoder(w).Encode(reply)
}

// exchange sends a batch to another VM's relay.
func (f *relayFixture) exchange(ctx context.Context, to relays.VM, b *relay.Batch) (*relay.Reply, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Addr, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	reply := new(relay.Reply)
	return reply, json.NewDecoder(resp.Body).Decode(reply)
}

// relaySettings returns the settings of a VM for spreading the calls to runners over the others; nil if the
// simulated deployment has no relays.
func (s *loadSim) relaySettings(vm *loadVM) *RelaySettings {
	if s.size.coresPerVM <= 0 {
		return nil
	}
	return &RelaySettings{
		OwnCores: s.size.coresPerVM,
		Candidates: func() []relays.VM {
			var out []relays.VM
			for _, other := range s.liveVMs() {
				if other != vm {
					out = append(out, relays.VM{Name: other.name, Addr: relayAddr(other.name), Cores: s.size.coresPerVM})
				}
			}
			return out
		},
		Exchange: vm.relay.exchange,
		Clock:    func() time.Duration { return time.Since(s.startedAt) },
	}
}

// cutRelays cuts a VM off from the relays of all others, and them from its own.
func (s *loadSim) cutRelays(vm *loadVM) { s.setRelaysCut(vm, s.net.Cut) }

func (s *loadSim) setRelaysCut(vm *loadVM, set func(host, addr string)) {
	for i := range s.vmCount {
		other := fmt.Sprintf("vm%d", i+1)
		set(vm.name, relayAddr(other))
		set(other, relayAddr(vm.name))
	}
}

// cutFromRelays cuts the scheduler's VM off from half of the other VMs until the returned function is
// called.
func (s *loadSim) cutFromRelays() (heal func()) {
	leader, _ := s.leader()
	if leader == nil {
		return func() {}
	}
	var cut []string
	for i, vm := range s.liveVMs() {
		if vm != leader && i%2 == 0 {
			cut = append(cut, relayAddr(vm.name))
			s.net.Cut(leader.name, relayAddr(vm.name))
		}
	}
	return func() {
		for _, addr := range cut {
			s.net.Heal(leader.name, addr)
		}
	}
}

// freezeRelay suspends a VM that relays calls until the returned function is called. What it was about
// to send then leaves it.
func (s *loadSim) freezeRelay() (wake func()) {
	_, sched := s.leader()
	if sched == nil || sched.relays == nil {
		return func() {}
	}
	names := sched.relays.Names()
	for _, vm := range s.liveVMs() {
		if slices.Contains(names, vm.name) {
			vm.freezer.freeze()
			return vm.freezer.wake
		}
	}
	return func() {}
}

// freezer holds up what a suspended VM sends and receives.
type freezer struct {
	mu    sync.Mutex
	awake chan struct{}
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awake == nil {
		f.awake = make(chan struct{})
	}
}

func (f *freezer) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awake != nil {
		close(f.awake)
		f.awake = nil
	}
}

// wait returns once the VM is not suspended.
func (f *freezer) wait() {
	f.mu.Lock()
	awake := f.awake
	f.mu.Unlock()
	if awake != nil {
		<-awake
	}
}

// dialer returns a dial function for connections on which nothing is sent while the VM is suspended.
func (f *freezer) dialer(dial platform.Dial) platform.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &freezableConn{c, f}, nil
	}
}

type freezableConn struct {
	net.Conn
	freezer *freezer
}

func (c *freezableConn) Write(b []byte) (int, error) {
	c.freezer.wait()
	return c.Conn.Write(b)
}
