// Package router serves requests: it admits them, runs them on the runner slots
// that this entry VM owns, and forwards them to entry VMs with free slots.
package router

import "time"

// Request is a request of a caller.
type Request struct {
	// ID identifies the request; empty chooses one.
	ID         string
	Department string
	Kind       string
	Body       []byte
	// Deadline is the time for the whole request; zero is the default of the kind.
	Deadline time.Duration
	// IdempotencyKey names the work. It is required with NoRepeat.
	IdempotencyKey string
	// NoRepeat marks a request that must run at most once.
	NoRepeat bool
}

// Answer is the whole answer to a request.
type Answer struct {
	RequestID string
	Body      []byte
	// Upstream is the runner that ran the request, in availability zone Zone.
	Upstream string
	Zone     string
	// Hops is the number of forwards between entry VMs.
	Hops int
	// Wait is the time from arrival to dispatch.
	Wait time.Duration
	// Repeated tells that the answer is the recorded one of an earlier submission.
	Repeated bool
}
