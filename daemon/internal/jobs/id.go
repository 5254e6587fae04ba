package jobs

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// idBytes is the length of the job ID after the zone, before hex encoding. With 12
// bytes, a collision of random IDs within the retention time is unlikely.
const idBytes = 12

// newID returns a job ID: the home zone, a dot, and a hash of the department and
// the idempotency key, or a random value if there is no key.
func newID(zone, department, key string) string {
	var sum [sha256.Size]byte
	if key == "" {
		_, _ = rand.Read(sum[:idBytes])
	} else {
		sum = sha256.Sum256([]byte(department + "\x00" + key))
	}
	return zone + "." + hex.EncodeToString(sum[:idBytes])
}

// keyHash returns the rendezvous hashing key that selects the home zone of a job
// with an idempotency key.
func keyHash(department, key string) string {
	sum := sha256.Sum256([]byte(department + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// zoneOf returns the home zone of a job ID, or an empty string if it has none.
func zoneOf(id string) string {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return ""
	}
	return id[:i]
}
