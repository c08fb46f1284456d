package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// secretBytes is the number of random bytes of a secret.
const secretBytes = 32

// secretPrefix starts every secret, so that leaked secrets can be searched for.
const secretPrefix = "mr-"

// NewSecret returns a random secret and its digest.
func NewSecret() (secret, digest string, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", fmt.Errorf("operator: secret: %w", err)
	}
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Digest(secret), nil
}

// Digest returns the SHA-256 of a secret, in hex. Only the digest is stored.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// IssueKey creates a key for a team and returns its secret, which is not stored.
func IssueKey(ctx context.Context, services platform.Services, name, team string) (secret string, c *config.Config, err error) {
	secret, digest, err := NewSecret()
	if err != nil {
		return "", nil, err
	}
	c, err = Commit(ctx, services, func(c *config.Config) (config.Delta, error) {
		if _, exists := c.Keys().Get(name); exists {
			return config.Delta{}, fmt.Errorf("operator: key %q exists; choose another name", name)
		}
		key := config.Key{Name: name, Team: team, Digest: digest}
		return config.Delta{Set: config.Document{Keys: []config.Key{key}}}, nil
	})
	if err != nil {
		return "", nil, err
	}
	return secret, c, nil
}

// RevokeKey removes a key from the configuration.
func RevokeKey(ctx context.Context, services platform.Services, name string) (*config.Config, error) {
	return Commit(ctx, services, func(c *config.Config) (config.Delta, error) {
		if _, exists := c.Keys().Get(name); !exists {
			return config.Delta{}, fmt.Errorf("operator: no key %q", name)
		}
		return config.Delta{Drop: config.DroppedKeys{Keys: []string{name}}}, nil
	})
}
