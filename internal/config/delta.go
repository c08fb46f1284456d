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

// Section is an immutable set of items by key. The zero value is empty.
type Section[T Item] struct {
	// items is never written after the section was made.
	items map[string]T
}

// Get returns the item with the given key.
func (s Section[T]) Get(key string) (T, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Len returns the number of items.
func (s Section[T]) Len() int { return len(s.items) }

// Sorted returns the items in the order of their keys.
func (s Section[T]) Sorted() []T {
	out := make([]T, 0, len(s.items))
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		out = append(out, s.items[key])
	}
	return out
}

// with returns the section after a change; an empty change shares the items.
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

// DroppedKeys lists keys to drop, by section.
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

// Delta is what one change sets and drops.
type Delta struct {
	Set  Document    `json:"set"`
	Drop DroppedKeys `json:"drop"`
}

// Empty reports whether d changes nothing.
func (d Delta) Empty() bool { return reflect.DeepEqual(d, Delta{}) }

// Change is a numbered Delta as the platform keeps it.
type Change struct {
	// Generation is the one that the change leads to.
	Generation uint64 `json:"generation"`
	// Digest is chained over the digest before and the delta's bytes.
	Digest string `json:"digest"`
	// Token tells the operator's attempt that committed the change.
	Token string `json:"token"`
	// Delta is the encoded Delta, kept as bytes so that the digest holds.
	Delta json.RawMessage `json:"delta"`
}

// NewChange encodes d as the change after c.
func NewChange(c *Config, d Delta, token string) (Change, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return Change{}, fmt.Errorf("config: encode delta: %w", err)
	}
	return Change{
		Generation: c.generation + 1,
		Digest:     chain(c.digest, raw),
		Token:      token,
		Delta:      raw,
	}, nil
}

func chain(before string, delta []byte) string {
	h := sha256.New()
	h.Write([]byte(before))
	h.Write(delta)
	return hex.EncodeToString(h.Sum(nil))
}

// Head names the newest committed generation.
type Head struct {
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	// Snapshot is the newest generation kept whole in the object store, or 0.
	Snapshot uint64 `json:"snapshot"`
}

// Snapshot is one whole generation.
type Snapshot struct {
	Generation uint64   `json:"generation"`
	Digest     string   `json:"digest"`
	Document   Document `json:"document"`
}
