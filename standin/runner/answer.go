package runner

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest returns the lower-case hex SHA-256 of b.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Answer returns the answer to a request body: the digest of the body, a colon, and the body
// with every bit inverted. A caller that knows its request body can thus verify that an
// answer belongs to its request and is complete.
func Answer(body []byte) []byte {
	out := make([]byte, 0, 2*sha256.Size+1+len(body))
	out = append(out, Digest(body)...)
	out = append(out, ':')
	for _, c := range body {
		out = append(out, ^c)
	}
	return out
}
