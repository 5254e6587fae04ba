// Package relay spreads the scheduler's calls to runners over entry VMs. The scheduler's VM sends batches
// of calls to a few other VMs, which make the calls and return batches of answers.
//
// A relay decides nothing: fencing tokens, ends of leases and stale orders are the scheduler's. To the
// scheduler a call through a relay that is lost, frozen or cut off is a call without an answer, which may have been
// carried out, as on a network that fails. A relay makes no call of a batch that has become too old on the way,
// so that an order does not reach a runner seconds after the scheduler has checked it.
package relay
