// Package replay runs recorded traces through an engine with a virtual clock and
// reports packing, waits, fairness and goodput. Nothing in it reads a clock or
// uses randomness without a fixed seed.
package replay
