// Package runner defines the protocol between an entry VM and a runner of the
// request service, which is an upstream.
//
// The entry VM sends POST [PathRun] with the request's body. A successful answer is
// 200 with the complete body, [HeaderRequestID] and [HeaderDigest]. A 503 with
// [HeaderNotRun] set to "true" means that the request was not run. After any other
// failure it is unknown whether the request ran.
package runner

// PathRun is the path of a request.
const PathRun = "/v1/run"

// Headers of the protocol.
const (
	// HeaderRequestID is the ID of the request, in the request and in the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderKind is the kind of work.
	HeaderKind = "X-Kind"
	// HeaderDeadlineMillis is the remaining time for the request, in milliseconds.
	HeaderDeadlineMillis = "X-Deadline-Ms"
	// HeaderDigest is the SHA-256 of the answer's body in lower-case hex.
	HeaderDigest = "X-Content-Sha256"
	// HeaderNotRun is "true" if the runner did not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderState is [StateLeaving] if the runner accepts no new work.
	HeaderState = "Upstream-State"
)

// StateLeaving is the value of HeaderState for a runner that is shutting down.
const StateLeaving = "leaving"

// Slots is the maximum number of requests that a runner runs concurrently.
const Slots = 8

// MaxConnections is the maximum number of open connections that a runner accepts.
const MaxConnections = 60
