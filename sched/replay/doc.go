// Package replay runs recorded traces through a scheduling engine on a virtual clock
// and reports packing, wait times, fairness and goodput. Results are reproducible:
// scheduling uses only virtual time, and all randomness has a fixed seed.
package replay
