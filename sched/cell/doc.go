// Package cell schedules jobs made of steps onto the runners of one cell. It holds
// the whole state of the scheduler in memory and performs no I/O: the caller feeds
// it jobs, runner reports, advice and answers, and carries out what it decides.
//
// A Cell is not safe for concurrent use. Times are those of the caller's steady clock.
package cell
