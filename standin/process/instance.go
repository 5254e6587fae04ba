package process

import (
	"crypto/rand"
	"encoding/hex"
)

// NewInstance returns a random ID for one start of a process, in hex.
func NewInstance() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Read never fails.
	return hex.EncodeToString(b[:])
}
