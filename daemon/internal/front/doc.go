// Package front serves the HTTP API of a cell's clients: it accepts jobs and stores them
// before it answers, returns their states, and cancels them.
package front
