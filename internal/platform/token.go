package platform

import (
	"crypto/rand"
	"encoding/base64"
)

// tokenBytes is the number of random bytes of a token.
const tokenBytes = 18

// NewToken returns a random token that is unique to one attempt or request.
func NewToken() string {
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		panic("platform: read random bytes: " + err.Error())
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}
