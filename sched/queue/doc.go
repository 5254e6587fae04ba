// Package queue holds the waiting tasks by kind and department. Cancelled jobs are
// only marked as such; they leave the queue when it is searched next.
package queue
