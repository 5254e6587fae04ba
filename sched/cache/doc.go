// Package cache holds the workers of a zone with what is reserved on them, and
// an index that finds candidates by free resources.
package cache
