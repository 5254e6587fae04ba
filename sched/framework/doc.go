// Package framework defines the steps by which a task gets a worker: Permit
// (may it start now), Filter (which workers can take it), Score (which is best)
// and Reserve (account for the start). A rule is a type that implements one or
// more of the steps; adding a rule is adding a file to package plugins.
package framework
