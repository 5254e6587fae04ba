// Package quorum decides who holds the quorum of a zone by weighted votes under
// leases. It does no I/O; every function takes the time as an argument.
//
// Voters are the workers of the roster and the platform. All weights are even
// and the roster changes by a weight of two at a time, so every majority of one
// roster shares a voter with every majority of the next one.
package quorum
