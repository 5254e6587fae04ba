package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"rhubarbstall.example/wire/platform"
)

// EntryOptions configures an entry VM. Name and Zone are required; each other field
// has a default.
type EntryOptions struct {
	Name string
	Zone string
	// Platform is the address at which the entry VM reaches the platform. It defaults
	// to the address of the platform itself, without a relay.
	Platform string
	// PeerRelay makes other entry VMs connect to this one through a relay with the
	// link NAME-peer.
	PeerRelay bool
	// LogLevel defaults to "info".
	LogLevel string
}

// entryConfig is the settings file of an entry VM.
type entryConfig struct {
	ID               string      `json:"id"`
	AvailabilityZone string      `json:"availability_zone"`
	APIAddr          string      `json:"api_addr"`
	PeerAddr         string      `json:"peer_addr"`
	PeerAdvertise    string      `json:"peer_advertise"`
	PlatformAddrs    []string    `json:"platform_addrs"`
	Seeds            []string    `json:"seeds"`
	Log              logConfig   `json:"log"`
	Trace            traceConfig `json:"trace"`
}

type logConfig struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

type traceConfig struct {
	Sample float64 `json:"sample"`
	File   string  `json:"file"`
}

// StartEntry starts an entry VM and adds it to the VM list of the platform. Its
// seeds are the other entry VMs that have been started so far. An entry VM that is
// started again under its name keeps its addresses.
func (c *Cluster) StartEntry(o EntryOptions) error {
	if o.Platform == "" {
		o.Platform = c.platformAddr
	}
	if o.LogLevel == "" {
		o.LogLevel = "info"
	}
	e, seeds, err := c.addresses(o)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(entryConfig{
		ID: o.Name, AvailabilityZone: o.Zone, APIAddr: e.api, PeerAddr: e.peer, PeerAdvertise: e.advertise,
		PlatformAddrs: []string{"http://" + o.Platform}, Seeds: seeds,
		Log: logConfig{Level: o.LogLevel, Format: "json"},
	}, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(c.Dir, o.Name+".json")
	if err := os.WriteFile(file, append([]byte("// Settings file of entry VM "+o.Name+".\n"), text...), 0o644); err != nil {
		return err
	}
	if _, err := c.start(o.Name, "rhubarbstalld", false, "run", "--config", file); err != nil {
		return err
	}
	return c.SetVM(platform.VM{
		ID: o.Name, Role: platform.RoleEntry, AvailabilityZone: o.Zone, Addr: e.advertise, State: platform.VMLive,
	})
}

// addresses returns the addresses of an entry VM, which it allocates at the first
// start, and the peer addresses of all other entry VMs.
func (c *Cluster) addresses(o EntryOptions) (entry, []string, error) {
	c.mu.Lock()
	seeds := []string{}
	var found *entry
	for i, e := range c.entries {
		if e.name == o.Name {
			found = &c.entries[i]
		} else {
			seeds = append(seeds, e.advertise)
		}
	}
	c.mu.Unlock()
	if found != nil {
		return *found, seeds, nil
	}
	e, err := c.newEntry(o)
	if err != nil {
		return entry{}, nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, e)
	return e, seeds, nil
}

// newEntry allocates the addresses of an entry VM and starts its relay, if any.
func (c *Cluster) newEntry(o EntryOptions) (entry, error) {
	e := entry{name: o.Name}
	var err error
	if e.api, err = freeAddr(); err != nil {
		return entry{}, err
	}
	if e.peer, err = freeAddr(); err != nil {
		return entry{}, err
	}
	e.advertise = e.peer
	if o.PeerRelay {
		e.advertise, err = c.StartRelay(o.Name+"-peer", e.peer)
	}
	return e, err
}

// readyPollInterval is the interval between calls of GET /readyz.
const readyPollInterval = 50 * time.Millisecond

// AwaitReady waits until GET /readyz of an entry VM returns 200 or, with anyStatus,
// any status. It returns an error if the process ends or ctx is done first.
func (c *Cluster) AwaitReady(ctx context.Context, name string, anyStatus bool) error {
	p, err := c.Process(name)
	if err != nil {
		return err
	}
	var api string
	for _, e := range c.Entries() {
		if e.Name == name {
			api = e.Addr
		}
	}
	last := "no answer"
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+api+"/readyz", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			last = resp.Status
			if anyStatus || resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyPollInterval):
		case <-p.Exited():
			return fmt.Errorf("process of entry VM %s ended before it was ready: %v", name, p.Err())
		case <-ctx.Done():
			return fmt.Errorf("entry VM %s is not ready; last answer of GET /readyz: %s", name, last)
		}
	}
}
