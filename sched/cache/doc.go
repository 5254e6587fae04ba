// Package cache holds the workers of a zone, the resources allocated on them, and
// an index that finds candidate workers by free resources.
package cache
