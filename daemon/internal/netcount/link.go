// Package netcount counts the bytes that an entry VM sends and receives on each kind of link,
// because the amount of control traffic is one of the system's quality measures.
package netcount

import "sync/atomic"

// Link is a kind of connection, by the party at the other end.
type Link int

// The kinds of connections.
const (
	Peer Link = iota
	Platform
	Worker
	Upstream
	Runner
	Advisor
	Caller
	linkCount
)

// String returns the value of the metric's link attribute.
func (l Link) String() string {
	return [...]string{"peer", "platform", "worker", "upstream", "runner", "advisor", "caller"}[l]
}

// totals holds the bytes, writes and reads counted for one link since the process started.
type totals struct {
	sent, received atomic.Int64
	writes, reads  atomic.Int64
}

var byLink [linkCount]totals

// Bytes returns the bytes sent and received on a link since the process started, without TCP
// and IP headers.
func Bytes(l Link) (sent, received int64) {
	return byLink[l].sent.Load(), byLink[l].received.Load()
}

// Traffic holds what was sent and received on each link.
type Traffic [linkCount]LinkTraffic

// LinkTraffic holds the bytes sent and received on a link. Writes and Reads count the calls that
// carried them; these, not the bytes, are what a VM with many small messages spends its processor on.
type LinkTraffic struct{ Sent, Received, Writes, Reads int64 }

// Snapshot returns the traffic since the process started, without TCP and IP headers.
func Snapshot() Traffic {
	var t Traffic
	for l := range linkCount {
		t[l].Sent, t[l].Received = Bytes(l)
		t[l].Writes, t[l].Reads = byLink[l].writes.Load(), byLink[l].reads.Load()
	}
	return t
}

// Since returns the traffic after an earlier snapshot.
func (t Traffic) Since(before Traffic) Traffic {
	for l := range t {
		t[l].Sent -= before[l].Sent
		t[l].Received -= before[l].Received
		t[l].Writes -= before[l].Writes
		t[l].Reads -= before[l].Reads
	}
	return t
}

// Total returns the sums over all links.
func (t Traffic) Total() (sent, received int64) {
	for l := range t {
		sent += t[l].Sent
		received += t[l].Received
	}
	return sent, received
}
