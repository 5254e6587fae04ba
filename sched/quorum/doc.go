// Package quorum implements the election of the leader of a zone. A candidate
// leads while voters with more than half of the total weight grant it a lease.
// The package does no I/O; the caller passes in the current time.
//
// The voters are the workers of the roster and the platform. The platform's vote is a
// key in its key-value store that a candidate writes under a lease; the store also
// holds the roster. All weights are even, and each roster change moves a weight of two,
// so every majority of one roster shares a voter with every majority of the next roster.
package quorum
