// Package caller is a test client of the API of entry VMs. It sends requests and
// jobs as a user's program does, and records each call, its result and the
// expected answer in a history.
package caller

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/history"
)

// connectTimeout limits the time to connect to an entry VM.
const connectTimeout = 500 * time.Millisecond

// Entry identifies an entry VM.
type Entry struct {
	Name string
	// Addr is the host:port address of the API.
	Addr string
}

// Caller calls the API of a set of entry VMs. It is safe for concurrent use.
type Caller struct {
	entries []Entry
	clients []*oas.Client
	history *history.Writer
	next    atomic.Uint64
}

// New returns a caller of the given entry VMs. With a nil history it records no events.
func New(entries []Entry, h *history.Writer) (*Caller, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
	}
	c := &Caller{entries: entries, history: h}
	for _, e := range entries {
		client, err := oas.NewClient("http://"+e.Addr, oas.WithClient(&http.Client{Transport: transport}))
		if err != nil {
			return nil, fmt.Errorf("create API client of entry VM %s: %w", e.Name, err)
		}
		c.clients = append(c.clients, client)
	}
	return c, nil
}

// NextEntry returns the index of the next entry VM in round-robin order.
func (c *Caller) NextEntry() int { return int(c.next.Add(1)-1) % len(c.entries) }

// Entries returns the entry VMs in the order of their indexes.
func (c *Caller) Entries() []Entry { return c.entries }

// Client returns the API client of the entry VM with the given index. Its calls are
// not recorded in the history.
func (c *Caller) Client(entry int) *oas.Client { return c.clients[entry] }
