package once

import (
	"context"
	"fmt"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
)

const (
	methodAsk  = "once.ask"
	askTimeout = 500 * time.Millisecond
	// maxVMListLag is the maximum delay until the platform's VM list shows a VM that
	// has started. If a VM is not listed and the record is younger than that, the
	// record may belong to a new VM.
	maxVMListLag = time.Minute
)

// askRequest asks an entry VM for the state of one of its claims.
type askRequest struct {
	Claim string `json:"claim"`
}

// askReply is the state of a claim at the entry VM that made it.
type askReply struct {
	Incarnation uint64  `json:"incarnation"`
	Phase       phase   `json:"phase"`
	Answer      *Answer `json:"answer,omitempty"`
}

// handleAsk returns the state of a claim of this process. A claim that is not
// live is either abandoned, in which case its request is never sent, or its
// outcome is stored, in which case the compare-and-swap of the caller fails.
func (r *Registry) handleAsk(_ context.Context, _ string, req *askRequest) (*askReply, error) {
	return r.lookup(req.Claim), nil
}

func (r *Registry) lookup(claim string) *askReply {
	reply := &askReply{Incarnation: r.cfg.Self.Incarnation, Phase: phaseReleased}
	r.mu.Lock()
	c := r.live[claim]
	r.mu.Unlock()
	if c != nil {
		reply.Phase, reply.Answer = c.status()
	}
	return reply
}

// resolve converts the record of an earlier submission into the result of a later
// one. abandoned means that the earlier claim will never be used to send.
func (r *Registry) resolve(ctx context.Context, e *entry, hash string) (answer *Answer, abandoned bool, err error) {
	if e.Request != hash {
		return nil, false, codes.KeyReused.With("the idempotency key was used for another request",
			codes.WithOutcome(codes.OutcomeNotRun))
	}
	switch e.State {
	case stateDone:
		answer, err = recordedAnswer(e.Answer)
		return answer, false, err
	case stateUnknown:
		return nil, false, outcomeUnknown("the earlier submission may have run")
	}
	reply, err := r.askClaimant(ctx, e)
	switch {
	case err != nil && r.claimantProvedGone(e):
		return nil, false, outcomeUnknown("the entry VM of the earlier submission is gone and left no outcome")
	case err != nil:
		return nil, false, submissionInProgress()
	case reply.Incarnation != e.Incarnation:
		return nil, false, outcomeUnknown("the entry VM of the earlier submission was restarted and left no outcome")
	}
	switch reply.Phase {
	case phaseReleased:
		return nil, true, nil
	case phaseDone:
		answer, err = recordedAnswer(reply.Answer)
		return answer, false, err
	case phaseUnknown:
		return nil, false, outcomeUnknown("the earlier submission may have run")
	default:
		return nil, false, submissionInProgress()
	}
}

// askClaimant asks the entry VM that made the claim of a record, which may be
// this one, for the state of the claim.
func (r *Registry) askClaimant(ctx context.Context, e *entry) (*askReply, error) {
	if e.VM == r.cfg.Self.ID {
		return r.lookup(e.Claim), nil
	}
	m, ok := r.cfg.View.Get(e.VM)
	if !ok || m.PeerAddr == "" {
		return nil, fmt.Errorf("entry VM %s is not known", e.VM)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peer.Call[askRequest, askReply](ctx, r.cfg.Peers, m.PeerAddr, methodAsk, &askRequest{Claim: e.Claim})
}

// claimantProvedGone reports whether the process that made the claim has provably
// ended. Missing heartbeats are no proof.
func (r *Registry) claimantProvedGone(e *entry) bool {
	if e.VM == r.cfg.Self.ID {
		if e.Incarnation != r.cfg.Self.Incarnation {
			return true
		}
		// A claim of this process that is not live was abandoned.
		return r.lookup(e.Claim).Phase == phaseReleased
	}
	written := time.UnixMilli(e.AtMillis)
	m, ok := r.cfg.View.Get(e.VM)
	if ok && m.Incarnation == e.Incarnation {
		return m.State == membership.Dead || m.State == membership.Left
	}
	if ok && m.State == membership.Alive && m.LastHeard.After(written) {
		// Another process of that VM was heard after the record was written.
		return true
	}
	vms, at := r.cfg.VMs.VMs()
	if at.IsZero() || at.Before(written.Add(maxVMListLag)) {
		return false
	}
	for _, vm := range vms {
		if vm.ID == e.VM {
			return false
		}
	}
	return true
}

func recordedAnswer(a *Answer) (*Answer, error) {
	if a == nil {
		a = &Answer{}
	}
	if a.Omitted > 0 && len(a.Body) == 0 {
		return nil, codes.AnswerNotKept.With(
			fmt.Sprintf("the request ran and was answered once; its answer of %d bytes is too large to be kept", a.Omitted),
			codes.WithOutcome(codes.OutcomeRan))
	}
	return a, nil
}

func outcomeUnknown(reason string) error {
	return codes.OutcomeUnknown.With(reason, codes.WithOutcome(codes.OutcomeIndeterminate))
}

func submissionInProgress() error {
	return codes.InProgress.With("an earlier submission with the same key is in progress",
		codes.WithOutcome(codes.OutcomeInProgress), codes.RetryAfter(time.Second))
}
