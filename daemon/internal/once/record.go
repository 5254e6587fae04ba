// Package once keeps the records of requests that must run at most once.
//
// A record lives in the platform, in one of 256 buckets. An entry VM adds its
// claim by compare-and-swap before the first byte of the request is sent, and
// sends only if the claim is its own. A claim without an outcome is never taken
// over: if its claimant is gone, the outcome is unknown.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

const (
	buckets = 256
	// maxBucketBytes bounds a bucket; the platform stores up to 1 MB.
	maxBucketBytes = 512 << 10
	// bodyRoom is the part of a bucket that stored answers may fill, so that
	// claims and bare outcomes still fit.
	bodyRoom = maxBucketBytes * 3 / 4
	// maxStoredBody is the largest answer that is stored with its outcome.
	maxStoredBody = 16 << 10
	// entryRoom is more than an entry without a body takes in JSON.
	entryRoom = 512
)

// state is what a record says of its request.
type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateUnknown state = "unknown"
)

// entry is the record of one key.
type entry struct {
	// Claim is unique to one claim and serves as the marker that is looked for
	// after an ambiguous write.
	Claim       string `json:"claim"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"inc"`
	// Request is a hash of the kind and the body, to detect the reuse of a key.
	Request string `json:"req"`
	State   state  `json:"state"`
	// AtMillis is the wall clock time of the last change.
	AtMillis int64   `json:"at"`
	Answer   *Answer `json:"answer,omitempty"`
}

// Answer is the recorded answer of a request that ran.
type Answer struct {
	Body     []byte `json:"body,omitempty"`
	Upstream string `json:"up,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Omitted is the size of a body that was too large to keep.
	Omitted int `json:"omitted,omitempty"`
}

// bucket is the stored value of one bucket.
type bucket struct {
	Entries map[string]*entry `json:"entries"`
}

func decodeBucket(value []byte) (*bucket, error) {
	b := &bucket{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, b); err != nil {
			return nil, fmt.Errorf("bucket is not valid: %w", err)
		}
	}
	if b.Entries == nil {
		b.Entries = map[string]*entry{}
	}
	return b, nil
}

func (b *bucket) encode() ([]byte, error) { return json.Marshal(b) }

// prune removes the entries whose retention is over. An entry without an
// outcome stays until its claimant is proved gone: a claimant that is only
// frozen could still send, and a new claim would then run the request twice.
func (b *bucket) prune(now time.Time, retention time.Duration, gone func(*entry) bool) (pruned bool) {
	limit := now.Add(-retention).UnixMilli()
	for key, e := range b.Entries {
		if e.AtMillis < limit && (e.State != stateClaimed || gone(e)) {
			delete(b.Entries, key)
			pruned = true
		}
	}
	return pruned
}

// keyOf returns the identity of a key within the records, and its bucket.
func keyOf(department, key string) (id string, index int) {
	sum := sha256.Sum256([]byte(department + "\x00" + key))
	return hex.EncodeToString(sum[:16]), int(sum[16])
}

func requestHash(kind string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(kind + "\x00"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func bucketKey(index int) string { return fmt.Sprintf("once/%d", index) }
