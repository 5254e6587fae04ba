// Package baseline implements a simple scheduler as a reference for comparisons: first
// fit in the order of arrival, with one queue for all kinds. It ignores urgency, quotas
// and usage reports, and it never stops a task by its own decision.
package baseline
