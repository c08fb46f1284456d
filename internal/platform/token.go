package platform

import (
	"crypto/rand"
	"encoding/base64"
)

// tokenBytes is the entropy of a token.
const tokenBytes = 18

// NewToken returns a fresh token that tells one attempt from all others.
func NewToken() string {
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		panic("platform: no randomness: " + err.Error())
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}
