// Package plugins holds the rules of the engine, one file each.
package plugins
