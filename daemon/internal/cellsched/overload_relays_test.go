package cellsched

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/relays"
)

// relayFixture is the relay of one VM, which others reach over the simulated network.
type relayFixture struct {
	server *relay.Server
	client *http.Client
}

func relayAddr(vm string) string { return vm + "-relay:80" }

func newRelayFixture(runners *platform.Runners, dial platform.Dial, clock relay.Clock, sim *loadSim, vm *loadVM) *relayFixture {
	return &relayFixture{
		server: relay.NewServer(runners, clock, sim.logger(vm)),
		client: &http.Client{Transport: &http.Transport{DialContext: dial}},
	}
}

// ServeHTTP implements http.Handler.
func (f *relayFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b relay.Batch
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(f.server.Exchange(r.Context(), &b))
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
func (s *loadSim) cutRelays(vm *loadVM) {
	s.setRelaysCut(vm, s.net.Cut)
}

func (s *loadSim) setRelaysCut(vm *loadVM, set func(host, addr string)) {
	for i := range s.vmCount {
		other := fmt.Sprintf("vm%d", i+1)
		set(vm.name, relayAddr(other))
		set(other, relayAddr(vm.name))
	}
}
