// Package estimate learns sizes and run times of kinds of work from lagged usage
// reports and outcomes. It never gives a size below the declared one. Run times
// feed backfill; nothing stops a task because it is late.
package estimate
