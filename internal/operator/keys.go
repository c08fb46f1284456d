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

// secretBytes is the entropy of an issued key.
const secretBytes = 32

// secretPrefix opens every issued key, so that leaked ones can be searched for.
const secretPrefix = "mr-"

// NewSecret returns a fresh secret and its digest.
func NewSecret() (secret, digest string, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", fmt.Errorf("operator: secret: %w", err)
	}
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Digest(secret), nil
}

// Digest returns what is kept of a secret.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// IssueKey creates a key for a team and returns its secret, which is kept nowhere.
func IssueKey(ctx context.Context, services platform.Services, name, team string) (secret string, c *config.Config, err error) {
	secret, digest, err := NewSecret()
	if err != nil {
		return "", nil, err
	}
	c, err = Commit(ctx, services, func(c *config.Config) (config.Delta, error) {
		if _, taken := c.Keys().Get(name); taken {
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

// RevokeKey ends a key.
func RevokeKey(ctx context.Context, services platform.Services, name string) (*config.Config, error) {
	return Commit(ctx, services, func(c *config.Config) (config.Delta, error) {
		if _, known := c.Keys().Get(name); !known {
			return config.Delta{}, fmt.Errorf("operator: no key %q", name)
		}
		return config.Delta{Drop: config.DroppedKeys{Keys: []string{name}}}, nil
	})
}
