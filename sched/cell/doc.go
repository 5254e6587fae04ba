// Package cell schedules jobs, which consist of steps, onto the runners of one cell. It
// holds the whole state of the scheduler in memory and performs no I/O: the caller passes
// in jobs, runner reports, the advisor's answers and the outcomes of orders, and carries
// out the decisions.
//
// A Cell is not safe for concurrent use. Unless a parameter is called wall, times are
// readings of the caller's monotonic clock.
package cell
