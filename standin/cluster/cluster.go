package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/check"
	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/wire/platform"
)

// Cluster is a deployment of local processes: the platform, entry VMs, workers,
// runners and relays.
type Cluster struct {
	// Bin is the directory of the programs.
	Bin string
	// Dir is the directory for settings files and logs. Its subdirectory history
	// holds the history files.
	Dir string
	// History records the events of the harness itself, such as killed processes.
	History *history.Writer

	mu sync.Mutex
	// started holds all processes in order of start, byName the latest of each name.
	started []*Process
	byName  map[string]*Process
	entries []entry
	// platformAddr is empty until the platform has an address.
	platformAddr string
	// vms holds the VM list that the platform was given, by VM ID.
	vms map[string]platform.VM
}

// entry holds the addresses of an entry VM.
type entry struct {
	name string
	// api and peer are the listen addresses.
	api  string
	peer string
	// advertise is the address at which other entry VMs reach peer.
	advertise string
}

// New returns a deployment without processes. It starts programs from bin and
// writes files to dir.
func New(bin, dir string) (*Cluster, error) {
	c := &Cluster{Bin: bin, Dir: dir, byName: make(map[string]*Process), vms: make(map[string]platform.VM)}
	if err := os.MkdirAll(c.HistoryDir(), 0o755); err != nil {
		return nil, err
	}
	h, err := history.Open(c.historyFile("harness"), "harness", "")
	if err != nil {
		return nil, err
	}
	c.History = h
	return c, nil
}

// HistoryDir returns the directory of the history files.
func (c *Cluster) HistoryDir() string { return filepath.Join(c.Dir, "history") }

func (c *Cluster) historyFile(name string) string {
	return filepath.Join(c.HistoryDir(), name+".jsonl")
}

// Process returns the latest process that was started under a name.
func (c *Cluster) Process(name string) (*Process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.byName[name]
	if !ok {
		return nil, fmt.Errorf("no process named %q", name)
	}
	return p, nil
}

// Entries returns the entry VMs in order of their first start.
func (c *Cluster) Entries() []caller.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []caller.Entry
	for _, e := range c.entries {
		out = append(out, caller.Entry{Name: e.name, Addr: e.api})
	}
	return out
}

// Caller returns a caller of all entry VMs that records its events in the history
// of the harness.
func (c *Cluster) Caller() (*caller.Caller, error) { return caller.New(c.Entries(), c.History) }

// start starts a program below Bin. With ready set, it waits for the addresses that
// a stand-in prints.
func (c *Cluster) start(name, program string, ready bool, args ...string) (*Process, error) {
	p, err := startProcess(c.Dir, name, filepath.Join(c.Bin, program), args, ready, c.History)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = append(c.started, p)
	c.byName[name] = p
	return p, nil
}

// Stop stops every process and closes the history. It stops the entry VMs first, all at
// the same time, and then the other processes. A process that has not ended within the
// timeout is killed, so Stop takes up to twice the timeout.
func (c *Cluster) Stop(timeout time.Duration) {
	c.mu.Lock()
	processes := slices.Clone(c.started)
	c.mu.Unlock()
	// Entry VMs need the other processes for a graceful shutdown.
	var entries, others sync.WaitGroup
	for _, p := range processes {
		if c.isEntry(p.Name) {
			entries.Go(func() { p.Stop(timeout) })
		}
	}
	entries.Wait()
	for _, p := range processes {
		others.Go(func() { p.Stop(timeout) })
	}
	others.Wait()
	_ = c.History.Close()
}

// CheckHistory checks the histories of the harness and of all stand-ins; entry VMs
// write none. Call it after Stop.
func (c *Cluster) CheckHistory() (*check.Report, error) {
	var names []string
	c.mu.Lock()
	for name := range c.byName {
		if !slices.ContainsFunc(c.entries, func(e entry) bool { return e.name == name }) {
			names = append(names, name)
		}
	}
	c.mu.Unlock()
	slices.Sort(names)
	return check.Dir(c.HistoryDir(), names...)
}

func (c *Cluster) isEntry(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.entries, func(e entry) bool { return e.name == name })
}
