// Package bubblerace keeps the race detector usable in tests with testing/synctest. A test
// package that uses synctest imports it for its effect.
//
// A timer channel that nobody waits on is filled by the goroutine that looks at it. In Go 1.26
// all goroutines of a bubble do so in one race context without a lock, so two of them at once
// corrupt the detector's state and crash the process. Built with the race detector, the
// package therefore sets GOMAXPROCS to 1. make test runs the importing packages on all
// processors too, without the detector.
package bubblerace
