// Package keys makes the secrets of callers and operators.
package keys

import (
	"crypto/rand"
	"encoding/base64"
)

// keyBytes is the number of random bytes of a key.
const keyBytes = 32

// New returns a random key.
func New() string {
	var raw [keyBytes]byte
	// The standard library ends the process when the random source fails.
	_, _ = rand.Read(raw[:])
	return "mk_" + base64.RawURLEncoding.EncodeToString(raw[:])
}
