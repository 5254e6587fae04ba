// Package ledger keeps the jobs, tasks and attempts of a zone and decides what
// becomes of a task whose attempt ends. Every engine uses it, so that an engine
// can differ only in the order and place of starts.
package ledger
