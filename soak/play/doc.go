// Package play plays seeded runs of real daemons under faults. The entry VMs are processes of
// rhubarbstalld; the store, the runners, the operator and the clients are stand-ins in this process, and
// each connection to the store, to a runner, of a client and to the scheduler passes a relay on the loopback address. Faults come from
// outside the daemons: signals, relays, and what store and runners do. A run is checked by what clients
// and runners saw: each start and end as it comes (checker), and what is left at the end (clients.check).
package play
