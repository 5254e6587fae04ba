// Package model holds the types that the scheduling engines share with their
// callers. An engine is a deterministic state machine: it does no I/O, starts
// no goroutines, and takes the time as an argument. It is not safe for
// concurrent use; the caller must serialize calls with a lock.
package model
