// Package plugins holds the plugins of the engine, one file each. See package framework
// for the extension points that they implement.
package plugins
