// Package engine implements model.Engine with the packages of this module. It is
// deterministic: the same sequence of calls gives the same decisions. It reads no
// clock, uses no randomness and never depends on the iteration order of a map.
package engine
