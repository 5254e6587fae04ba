// Package once stores a record for each request that must run at most once.
//
// The records are in the platform's store, in 256 buckets. Before an entry VM
// sends the first byte of such a request, it writes a claim on the idempotency
// key by compare-and-swap, and it sends only if it holds the claim. A claim
// without an outcome is never taken over: if the entry VM that made it is gone,
// the outcome is unknown.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

const (
	bucketCount = 256
	// maxBucketBytes bounds the size of a bucket; the platform stores up to 1 MB.
	maxBucketBytes = 512 << 10
	// maxBucketBytesForAnswers is the size up to which stored answers may fill a bucket.
	// The rest is left for claims and for outcomes without an answer.
	maxBucketBytesForAnswers = maxBucketBytes * 3 / 4
	// maxStoredBodyBytes is the size of the largest answer that is stored with its
	// outcome.
	maxStoredBodyBytes = 16 << 10
	// maxEntryBytes is an upper bound of the JSON size of an entry without a body.
	maxEntryBytes = 512
)

// state is the state of a request according to its record.
type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateUnknown state = "unknown"
)

// entry is the record of one idempotency key.
type entry struct {
	// Claim is the unique ID of the claim. After an ambiguous write, it shows whether
	// the write took effect.
	Claim       string `json:"claim"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"inc"`
	// Request is a hash of kind and body, to detect reuse of a key for another
	// request.
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
	// Omitted is the size of a body that was too large to store.
	Omitted int `json:"omitted,omitempty"`
}

// bucket is the value of one key of the platform's store.
type bucket struct {
	Entries map[string]*entry `json:"entries"`
}

func decodeBucket(value []byte) (*bucket, error) {
	b := &bucket{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, b); err != nil {
			return nil, fmt.Errorf("decode bucket of idempotency records: %w", err)
		}
	}
	if b.Entries == nil {
		b.Entries = map[string]*entry{}
	}
	return b, nil
}

func (b *bucket) encode() ([]byte, error) { return json.Marshal(b) }

// prune removes entries older than the retention. An entry without an outcome
// stays until its entry VM is proved gone: an entry VM that is only frozen could
// still send the request, and a new claim would then run it a second time.
func (b *bucket) prune(now time.Time, retention time.Duration, claimantGone func(*entry) bool) (pruned bool) {
	limit := now.Add(-retention).UnixMilli()
	for key, e := range b.Entries {
		if e.AtMillis < limit && (e.State != stateClaimed || claimantGone(e)) {
			delete(b.Entries, key)
			pruned = true
		}
	}
	return pruned
}

// recordKeyOf returns the ID of a department's idempotency key in the records,
// and the index of its bucket.
func recordKeyOf(department, key string) (id string, index int) {
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
