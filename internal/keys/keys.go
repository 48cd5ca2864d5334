// Package keys generates the secrets of callers and operators.
package keys

import (
	"crypto/rand"
	"encoding/base64"
)

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// New returns a random key with the prefix mk_.
func New() string {
	var raw [keyBytes]byte
	// crypto/rand.Read never returns an error; it terminates the process when the
	// random source fails.
	_, _ = rand.Read(raw[:])
	return "mk_" + base64.RawURLEncoding.EncodeToString(raw[:])
}
