// Package health tells bad workers from bad jobs. A worker that fails tasks of
// several jobs is quarantined, a job that fails on several workers is parked,
// and both return by a probe. A rack or zone that fails at once is one event.
package health
