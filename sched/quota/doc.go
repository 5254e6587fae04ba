// Package quota keeps the resource usage of the department tree. It orders
// departments by dominant resource fairness and reports which of them exceed a quota.
package quota
