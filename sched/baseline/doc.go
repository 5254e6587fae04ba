// Package baseline is the scheduler to compare with: first fit in arrival
// order, with one queue for all kinds. It ignores urgency, quotas and usage
// reports, and it never stops a task.
package baseline
