package worker

import (
	"errors"
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/worker"
)

var errInvalidLease = errors.New("lease_ms must be at least 1 and at most the longest owner lease")

// Sync renews or releases the owner lease, renews the task leases, drops the acknowledged
// outcomes and returns what changed since the sequence number of the request. It returns a
// refusal if the sender cannot have the lease, or an error for a malformed request.
func (w *Worker) Sync(req wire.SyncRequest) (wire.SyncResponse, *wire.Refusal, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Now()
	w.advance(now)
	if req.ReleaseLease {
		if r := w.owner.release(req.Owner, now); r != nil {
			return wire.SyncResponse{}, r, nil
		}
		w.write(history.Event{At: now, Type: history.OwnerChanged, Epoch: req.Owner.Epoch})
		return w.syncResponse(req.Since, now), nil, nil
	}
	lease := time.Duration(req.LeaseMillis) * time.Millisecond
	if lease <= 0 || lease > w.o.MaxOwnerLease {
		return wire.SyncResponse{}, nil, errInvalidLease
	}
	previous := w.owner
	if r := w.owner.acquire(req.Owner, lease, now, w.startedAt.Add(w.o.MaxOwnerLease)); r != nil {
		return wire.SyncResponse{}, r, nil
	}
	if previous.id != req.Owner.ID || previous.epoch != req.Owner.Epoch {
		w.write(history.Event{At: now, Type: history.OwnerChanged, Owner: req.Owner.ID, Epoch: req.Owner.Epoch})
	}
	if req.TaskLeaseMillis > 0 {
		w.taskLease = time.Duration(req.TaskLeaseMillis) * time.Millisecond
	}
	for _, t := range w.tasks {
		t.leaseExpires = now.Add(w.taskLease)
	}
	w.dropOutcomes(req.Acknowledge, now)
	return w.syncResponse(req.Since, now), nil, nil
}

// dropOutcomes removes the outcomes that the owner has acknowledged.
func (w *Worker) dropOutcomes(refs []wire.TaskRef, now time.Time) {
	acknowledged := make(map[wire.TaskRef]bool, len(refs))
	for _, ref := range refs {
		acknowledged[ref] = true
	}
	kept := w.outcomes[:0]
	for _, o := range w.outcomes {
		if !acknowledged[o.Ref] {
			kept = append(kept, o)
			continue
		}
		ref := o.Ref
		w.write(history.Event{At: now, Type: history.OutcomeAcked, Ref: &ref, Result: string(o.Result)})
	}
	clear(w.outcomes[len(kept):])
	w.outcomes = kept
}

// syncResponse returns the changes since a sequence number, or the full state if the number
// is not one of this instance.
func (w *Worker) syncResponse(since uint64, now time.Time) wire.SyncResponse {
	resp := wire.SyncResponse{Instance: w.o.Instance, Info: w.info(), Sequence: w.sequence}
	resp.Full = since < w.firstSequence || since > w.sequence
	for _, t := range w.tasks {
		if resp.Full || t.sequence > since {
			resp.Running = append(resp.Running, t.running(now))
		}
	}
	for _, o := range w.outcomes {
		if !resp.Full && o.sequence <= since {
			continue
		}
		resp.Outcomes = append(resp.Outcomes, o.Outcome)
		if !o.reported {
			o.reported = true
			ref := o.Ref
			w.write(history.Event{At: now, Type: history.OutcomeReported, Ref: &ref, Result: string(o.Result)})
		}
	}
	return resp
}
