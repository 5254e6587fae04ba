// Package ledger keeps the jobs, tasks and attempts of a zone and decides whether a
// task is retried when an attempt ends. Every scheduling engine uses it, so that
// engines differ only in the order and the placement of starts.
package ledger
