// Package estimate estimates the sizes and run times of kinds of work from usage
// reports, which arrive with a delay, and from the outcomes of tasks. It never
// estimates a size below the declared one. Estimated run times are used for backfill;
// no task is stopped because it runs longer than estimated.
package estimate
