// Package front serves the clients of the cell: it accepts jobs once they are
// stored, tells their states and cancels them.
package front
