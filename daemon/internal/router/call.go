package router

import (
	"time"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/once"
	"rhubarbstall.example/sched/admission"
)

// call is a request in progress on this entry VM.
type call struct {
	id       string
	class    admission.Class
	body     []byte
	noRepeat bool
	// hops is the number of forwards before the request reached this entry VM.
	hops      int
	arrivedAt time.Time
	startBy   time.Time
	// mayQueue allows a forwarded request to wait here; otherwise it is refused if
	// no slot is free within forwardStartTimeout.
	mayQueue bool
	// triedRunners holds the IDs of the runners to which this request was sent.
	triedRunners map[string]bool
	// refusedForwards counts the forwards that other entry VMs refused.
	refusedForwards int
	// retries counts the attempts after the first.
	retries int
	// refusal is the reason why admission refused the call before it was forwarded
	// to another zone.
	refusal *admission.Refusal
	// requeued is set while the ticket is back in the queue after a refused forward.
	requeued bool
	// mayHaveRun is set after an attempt with an unknown outcome. From then on the
	// call never ends as not run, whatever the outcome of later attempts.
	mayHaveRun bool
	// notAfter is the wall clock time after which no attempt of a no-repeat request
	// may start. Zero means no bound.
	notAfter time.Time
	// claim is the exclusive right to send a no-repeat request. It is set only at
	// the entry VM that received the request from the caller.
	claim *once.Claim

	ticket *admission.Ticket
	grant  chan grant
}

// grant assigns a slot or a peer to a waiting call, or reports that the call
// expired.
type grant struct {
	// upstream, slot and attemptID are set if the call runs on a slot of this entry VM.
	upstream  *upstream
	slot      int
	attemptID uint64
	// peer is set if the call is forwarded. member is a copy of the peer's
	// membership entry at the time of the grant.
	peer   *peerState
	member membership.Member
	// overflow is set for a forward to another zone after admission refused the
	// call here; such a call has no ticket.
	overflow bool
	// mayQueue allows the forward to wait at the peer.
	mayQueue bool
	// expired is set if the call reached its time limit in the queue.
	expired bool
}
