// Package entryvm assembles the process of an entry VM on the users' platform: the
// clients' interface, the election, the scheduler and the shutdown.
package entryvm
