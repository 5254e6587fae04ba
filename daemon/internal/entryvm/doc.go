// Package entryvm assembles the process of an entry VM on the users' platform, which the cell
// command runs: the client API, the leader election, the scheduler and the graceful shutdown.
package entryvm
