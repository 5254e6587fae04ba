package front

import (
	"net"
	"sort"
	"strings"
	"sync/atomic"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// routeTable is one version of the configuration, indexed for lookups.
type routeTable struct {
	version int64
	// maxBodyBytes is 0 if the configuration sets no limit.
	maxBodyBytes int64
	// byHost holds the routes of each host, those with longer prefixes first.
	byHost map[string][]platform.Route
	queues map[string]cell.Queue
	// keys identifies the client accounts; nil if requests need no key.
	keys *keyTable
	// accounts holds the client accounts by name.
	accounts map[string]cell.ClientAccount
}

// Routes holds the newest configuration. The zero value holds none.
type Routes struct {
	current atomic.Pointer[routeTable]
}

// Set puts a configuration in force and returns true, unless its version is not newer than
// the one in force.
func (r *Routes) Set(c *platform.Configuration) bool {
	next := &routeTable{version: c.Version, maxBodyBytes: c.MaxBodyBytes, byHost: make(map[string][]platform.Route), queues: make(map[string]cell.Queue)}
	for _, route := range c.Routes {
		host := strings.ToLower(route.Host)
		next.byHost[host] = append(next.byHost[host], route)
	}
	for _, list := range next.byHost {
		sort.SliceStable(list, func(i, k int) bool { return len(list[i].Prefix) > len(list[k].Prefix) })
	}
	for _, q := range c.Queues {
		next.queues[q.Name] = q
	}
	if c.KeysRequired {
		next.keys = newKeyTable(c.ClientAccounts)
		next.accounts = accountsByName(c.Accounts())
	}
	for {
		old := r.current.Load()
		if old != nil && old.version >= next.version {
			return false
		}
		if r.current.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Ready reports whether a configuration is in force.
func (r *Routes) Ready() bool { return r.current.Load() != nil }

// Version returns the version of the configuration in force, or 0.
func (r *Routes) Version() int64 {
	if c := r.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// find returns the route of the host whose prefix of path is the longest, and the rest of
// the path. It ignores a port in host.
func (c *routeTable) find(host, path string) (platform.Route, string, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route, rest, true
		}
	}
	return platform.Route{}, "", false
}
