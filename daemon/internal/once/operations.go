package once

import (
	"errors"

	"rhubarbstall.example/api/codes"
)

// errFound means that the key has a record of another claim.
var errFound = errors.New("the key has a record")

// claimOp adds a claim, or takes the place of one that its claimant gave up.
type claimOp struct {
	key      string
	entry    entry
	replaces string
	// found is the record of another claim.
	found entry
}

func (o *claimOp) apply(b *bucket, size int) (int, bool, error) {
	e := b.Entries[o.key]
	switch {
	case e == nil:
		if size+entryRoom > maxBucketBytes {
			return 0, false, codes.RecordFull.With("the record of requests that must not be repeated is full",
				codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(recordRetry))
		}
	case e.Claim == o.entry.Claim:
		return 0, false, nil
	case e.State == stateClaimed && e.Claim == o.replaces:
	default:
		o.found = *e
		return 0, false, errFound
	}
	added := o.entry
	b.Entries[o.key] = &added
	return entryRoom, true, nil
}

// outcomeOp stores the outcome of an own claim.
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
		// JSON stores a body in base64.
		grown = len(answer.Body) * 4 / 3
		if len(answer.Body) > maxStoredBody || size+grown > bodyRoom {
			answer.Omitted, answer.Body, grown = len(answer.Body), nil, 0
		}
		changed.Answer = &answer
	}
	b.Entries[o.key] = &changed
	return grown, true, nil
}

// releaseOp removes an own claim whose request was not run.
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
