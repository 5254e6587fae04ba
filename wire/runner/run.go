// Package runner holds the protocol between an entry VM and a runner of the
// request service, an upstream.
//
// POST [PathRun] with the request's body. The answer is 200 with the whole body,
// its [HeaderRequestID] and [HeaderDigest]. A 503 with [HeaderNotRun] set to
// "true" means that the request was not run. Any other failure leaves it
// unknown whether the request ran.
package runner

// PathRun is the path of a request.
const PathRun = "/v1/run"

// Headers of the protocol.
const (
	// HeaderRequestID carries the request's identity in both directions.
	HeaderRequestID = "X-Request-Id"
	// HeaderKind carries the kind of work.
	HeaderKind = "X-Kind"
	// HeaderDeadlineMillis carries the time left for the request, in milliseconds.
	HeaderDeadlineMillis = "X-Deadline-Ms"
	// HeaderDigest carries the lower-case hex SHA-256 of the answer's body.
	HeaderDigest = "X-Content-Sha256"
	// HeaderNotRun is "true" if the runner did not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderState is "leaving" if the runner takes no new work.
	HeaderState = "Upstream-State"
)

// StateLeaving is the value of HeaderState of a runner that is leaving.
const StateLeaving = "leaving"

// Slots is the number of requests that a runner runs at a time.
const Slots = 8

// MaxConnections is the number of connections that a runner accepts.
const MaxConnections = 60
