// Package queue holds the waiting tasks by kind and department. Cancelling a job
// marks it, and the mark is noticed when its turn comes.
package queue
