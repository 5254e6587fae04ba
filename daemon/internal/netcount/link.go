// Package netcount counts the bytes that an entry VM sends and receives on each
// kind of link, since the cost of control is one of the measures of the system.
package netcount

import "sync/atomic"

// Link is a kind of connection.
type Link int

// The kinds of connections.
const (
	Peer Link = iota
	Platform
	Worker
	Upstream
	linkCount
)

// String returns the value of the metric's attribute.
func (l Link) String() string {
	return [...]string{"peer", "platform", "worker", "upstream"}[l]
}

// totals holds the bytes of one link since the start of the process.
type totals struct {
	sent     atomic.Int64
	received atomic.Int64
}

var byLink [linkCount]totals

// Bytes returns the bytes sent and received on a link, without the headers of
// TCP and IP.
func Bytes(l Link) (sent, received int64) {
	return byLink[l].sent.Load(), byLink[l].received.Load()
}
