// Package health distinguishes faulty workers from faulty jobs. A worker on which
// tasks of several jobs fail is quarantined; a job that fails on several workers is
// parked. Either is used again after a probe has succeeded. Failures on many workers
// of a rack or zone at the same time are treated as one outage.
package health
