// Package engine implements model.Engine from the packages of this module. The
// same events give the same decisions: it reads no clock, uses no randomness
// and never depends on the iteration order of a map.
package engine
