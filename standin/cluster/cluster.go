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

// Cluster is a running deployment.
type Cluster struct {
	// Bin holds the programs.
	Bin string
	// Dir receives settings files, logs and, below history, the histories.
	Dir string
	// History is the history of the harness.
	History *history.Writer

	mu       sync.Mutex
	order    []*Process
	byName   map[string]*Process
	entries  []entry
	platform string
	vms      map[string]platform.VM
}

// entry is a started entry VM.
type entry struct {
	name string
	api  string
	peer string
	// advertise is the peer address that others use.
	advertise string
}

// New prepares a deployment that starts programs from bin and writes below dir.
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

// HistoryDir returns the directory of the histories.
func (c *Cluster) HistoryDir() string { return filepath.Join(c.Dir, "history") }

func (c *Cluster) historyFile(name string) string {
	return filepath.Join(c.HistoryDir(), name+".jsonl")
}

// Process returns a process by name.
func (c *Cluster) Process(name string) (*Process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.byName[name]
	if !ok {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

// Entries returns the entry VMs in order of start.
func (c *Cluster) Entries() []caller.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []caller.Entry
	for _, e := range c.entries {
		out = append(out, caller.Entry{Name: e.name, Addr: e.api})
	}
	return out
}

// Caller returns a caller that sends to all entry VMs and writes to the
// history of the harness.
func (c *Cluster) Caller() (*caller.Caller, error) { return caller.New(c.Entries(), c.History) }

func (c *Cluster) start(name, program string, ready bool, args ...string) (*Process, error) {
	p, err := start(c.Dir, name, filepath.Join(c.Bin, program), args, ready, c.History)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = append(c.order, p)
	c.byName[name] = p
	return p, nil
}

// Stop ends every process, the last started first, and closes the history.
func (c *Cluster) Stop(limit time.Duration) {
	c.mu.Lock()
	order := slices.Clone(c.order)
	c.mu.Unlock()
	// Entry VMs finish first, while what they talk to is still there.
	var entries, others sync.WaitGroup
	for _, p := range order {
		if c.isEntry(p.Name) {
			entries.Go(func() { p.Stop(limit) })
		}
	}
	entries.Wait()
	for _, p := range order {
		others.Go(func() { p.Stop(limit) })
	}
	others.Wait()
	_ = c.History.Close()
}

// CheckHistory checks the histories of the processes that write one. It is
// called after Stop.
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
