// Package keys makes the secrets of callers and operators.
package keys

import (
	"crypto/rand"
	"encoding/base64"
)

// size is the number of random bytes of a key.
const size = 32

// New returns a random key.
func New() string {
	var raw [size]byte
	// The standard library ends the process when the random source fails.
	_, _ = rand.Read(raw[:])
	return "mk_" + base64.RawURLEncoding.EncodeToString(raw[:])
}
