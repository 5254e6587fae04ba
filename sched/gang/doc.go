// Package gang plans when all tasks of a gang can start. One reservation exists
// at a time in a zone, so that two half-placed gangs cannot wait for each other.
package gang
