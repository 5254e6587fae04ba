package jobs

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// idBytes is the length of the part of an identity after the zone. 12 bytes make
// a collision of random identities unlikely over the retention time.
const idBytes = 12

// newID returns the identity of a job: its home zone, a dot, and a hash of
// department and key, or a random value without a key.
func newID(zone, department, key string) string {
	var sum [sha256.Size]byte
	if key == "" {
		_, _ = rand.Read(sum[:idBytes])
	} else {
		sum = sha256.Sum256([]byte(department + "\x00" + key))
	}
	return zone + "." + hex.EncodeToString(sum[:idBytes])
}

// keyHash returns the value by which a job with a key finds its home zone.
func keyHash(department, key string) string {
	sum := sha256.Sum256([]byte(department + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// zoneOf returns the home zone in a job identity, empty if it has none.
func zoneOf(id string) string {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return ""
	}
	return id[:i]
}
