// Package play plays seeded runs of real daemons under faults. The entry VMs are processes of
// rhubarbstalld; the store, the runners, the operator and the clients are stand-ins in this process, and
// each connection to the store or to a runner passes a relay on the loopback address. Faults come from
// outside the daemons: signals, relays, and what store and runners do. A run is checked by what clients,
// runners and the store saw.
package play
