// Package gang plans the earliest time at which all tasks of a gang can start
// together. Only one gang at a time has a reservation in a zone; two gangs that each
// hold part of the workers would wait for each other forever.
package gang
