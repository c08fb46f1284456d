package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Section is an immutable set of items, indexed by key. The zero value is empty.
type Section[T Item] struct {
	// items is never modified after the section is created.
	items map[string]T
}

// Get returns the item with the given key.
func (s Section[T]) Get(key string) (T, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Len returns the number of items.
func (s Section[T]) Len() int { return len(s.items) }

// Sorted returns the items, sorted by key.
func (s Section[T]) Sorted() []T {
	out := make([]T, 0, len(s.items))
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		out = append(out, s.items[key])
	}
	return out
}

// with returns the section with set added and drop removed. It shares the items
// if both are empty.
func (s Section[T]) with(set []T, drop []string) Section[T] {
	if len(set)+len(drop) == 0 {
		return s
	}
	items := make(map[string]T, len(s.items)+len(set))
	maps.Copy(items, s.items)
	for _, key := range drop {
		delete(items, key)
	}
	for _, item := range set {
		items[item.Key()] = item
	}
	return Section[T]{items: items}
}

func diff[T Item](from Section[T], to []T) (set []T, drop []string) {
	seen := make(map[string]bool, len(to))
	for _, item := range to {
		seen[item.Key()] = true
		old, ok := from.items[item.Key()]
		if !ok || !reflect.DeepEqual(old, item) {
			set = append(set, item)
		}
	}
	for key := range from.items {
		if !seen[key] {
			drop = append(drop, key)
		}
	}
	slices.Sort(drop)
	return set, drop
}

// DroppedKeys lists the keys of the items to remove from each section.
type DroppedKeys struct {
	Zones      []string `json:"zones,omitempty"`
	Models     []string `json:"models,omitempty"`
	Engines    []string `json:"engines,omitempty"`
	Services   []string `json:"services,omitempty"`
	Teams      []string `json:"teams,omitempty"`
	Keys       []string `json:"keys,omitempty"`
	Routes     []string `json:"routes,omitempty"`
	RetiredVMs []string `json:"retired,omitempty"`
}

// Delta holds the items that a change sets and drops.
type Delta struct {
	Set  Document    `json:"set"`
	Drop DroppedKeys `json:"drop"`
}

// Empty reports whether d changes nothing.
func (d Delta) Empty() bool { return reflect.DeepEqual(d, Delta{}) }

// Change is a numbered Delta as stored on the platform.
type Change struct {
	// Generation is the generation that the change results in.
	Generation uint64 `json:"generation"`
	// Digest is the SHA-256 of the previous digest and the bytes of Delta.
	Digest string `json:"digest"`
	// Token identifies the operator's attempt that committed the change.
	Token string `json:"token"`
	// Delta is the encoded Delta, kept as bytes because re-encoding could change
	// the digest.
	Delta json.RawMessage `json:"delta"`
}

// NewChange encodes d as the change that follows c.
func NewChange(c *Config, d Delta, token string) (Change, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return Change{}, fmt.Errorf("config: encode delta: %w", err)
	}
	return Change{
		Generation: c.generation + 1,
		Digest:     chainDigest(c.digest, raw),
		Token:      token,
		Delta:      raw,
	}, nil
}

func chainDigest(before string, delta []byte) string {
	h := sha256.New()
	h.Write([]byte(before))
	h.Write(delta)
	return hex.EncodeToString(h.Sum(nil))
}

// Head identifies the newest committed generation.
type Head struct {
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	// Snapshot is the newest generation with a snapshot in the object store,
	// or 0.
	Snapshot uint64 `json:"snapshot"`
}

// Snapshot is a complete generation.
type Snapshot struct {
	Generation uint64   `json:"generation"`
	Digest     string   `json:"digest"`
	Document   Document `json:"document"`
}
