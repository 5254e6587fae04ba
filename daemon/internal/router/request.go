// Package router serves requests: it admits them, runs them on the runner slots
// that this entry VM owns, and forwards them to entry VMs with free slots.
package router

import "time"

// Request is a request from a caller.
type Request struct {
	// ID identifies the request; if empty, the router generates one.
	ID         string
	Department string
	Kind       string
	Body       []byte
	// Deadline is the time limit of the whole request; zero means the default of
	// the kind.
	Deadline time.Duration
	// IdempotencyKey identifies the work. It is required with NoRepeat.
	IdempotencyKey string
	// NoRepeat marks a request that must run at most once.
	NoRepeat bool
}

// Answer is the complete answer to a request.
type Answer struct {
	RequestID string
	Body      []byte
	// Upstream is the ID of the runner that ran the request, and Zone is the
	// availability zone of that runner.
	Upstream string
	Zone     string
	// Hops is the number of forwards between entry VMs.
	Hops int
	// Wait is the time from arrival to dispatch.
	Wait time.Duration
	// Repeated is set if the answer was recorded for an earlier submission with the
	// same idempotency key.
	Repeated bool
}
