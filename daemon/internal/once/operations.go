package once

import (
	"errors"

	"rhubarbstall.example/api/codes"
)

// errOtherClaim means that the key has a record of another claim.
var errOtherClaim = errors.New("the key has a record of another claim")

// claimOp adds a claim, or replaces one that its entry VM has abandoned.
type claimOp struct {
	key      string
	entry    entry
	replaces string
	// found is the existing record of another claim.
	found entry
}

func (o *claimOp) apply(b *bucket, size int) (int, bool, error) {
	e := b.Entries[o.key]
	switch {
	case e == nil:
		if size+maxEntryBytes > maxBucketBytes {
			return 0, false, codes.RecordFull.With("the record of requests that must not be repeated is full",
				codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(recordFullRetryAfter))
		}
	case e.Claim == o.entry.Claim:
		return 0, false, nil
	case e.State == stateClaimed && e.Claim == o.replaces:
	default:
		o.found = *e
		return 0, false, errOtherClaim
	}
	added := o.entry
	b.Entries[o.key] = &added
	return maxEntryBytes, true, nil
}

// outcomeOp stores the outcome of a claim of this entry VM.
type outcomeOp struct {
	key    string
	claim  string
	state  state
	at     int64
	answer *Answer
}

func (o *outcomeOp) apply(b *bucket, size int) (int, bool, error) {
	e := b.Entries[o.key]
	if e == nil || e.Claim != o.claim || e.State == o.state {
		return 0, false, nil
	}
	changed := *e
	changed.State, changed.AtMillis = o.state, o.at
	grown := 0
	if o.answer != nil {
		answer := *o.answer
		// JSON encodes a body in base64.
		grown = len(answer.Body) * 4 / 3
		if len(answer.Body) > maxStoredBodyBytes || size+grown > maxBucketBytesForAnswers {
			answer.Omitted, answer.Body, grown = len(answer.Body), nil, 0
		}
		changed.Answer = &answer
	}
	b.Entries[o.key] = &changed
	return grown, true, nil
}

// releaseOp removes a claim of this entry VM whose request was not run.
type releaseOp struct {
	key   string
	claim string
}

func (o *releaseOp) apply(b *bucket, _ int) (int, bool, error) {
	e := b.Entries[o.key]
	if e == nil || e.Claim != o.claim {
		return 0, false, nil
	}
	delete(b.Entries, o.key)
	return 0, true, nil
}
