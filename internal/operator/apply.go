package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/router"
)

// snapshotEvery is how many changes may follow a whole generation.
const snapshotEvery = 32

// inlineLimit bounds a delta that is kept in its row, in bytes.
const inlineLimit = 200 << 10

// ErrGenerationMismatch means that the generation is not the one the operator expected.
var ErrGenerationMismatch = errors.New("operator: another generation is in force")

// ConflictError means that another operator committed first. Nothing was changed.
type ConflictError struct {
	// Generation is the newest one now; Changed is what the other set or
	// dropped.
	Generation uint64
	Changed    []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another operator committed generation %d first, which changed %s; read it and apply again",
		e.Generation, strings.Join(e.Changed, ", "))
}

// ReadConfig returns the newest generation and the version of the head's row.
func ReadConfig(ctx context.Context, services platform.Services) (*config.Config, config.Head, uint64, error) {
	head, version, err := router.ReadHead(ctx, services)
	if err != nil {
		return nil, head, 0, fmt.Errorf("operator: %w", err)
	}
	c := config.Empty()
	if head.Snapshot > 0 {
		if c, err = router.LoadSnapshot(ctx, services, head.Snapshot); err != nil {
			return nil, head, 0, fmt.Errorf("operator: %w", err)
		}
	}
	for c.Generation() < head.Generation {
		change, err := router.ReadChange(ctx, services, c.Generation()+1)
		if err != nil {
			return nil, head, 0, fmt.Errorf("operator: %w", err)
		}
		if c, err = c.Apply(change); err != nil {
			return nil, head, 0, fmt.Errorf("operator: %w", err)
		}
	}
	return c, head, version, nil
}

// Edit makes a change to the newest generation.
type Edit func(c *config.Config) (config.Delta, error)

// Commit applies an edit to the newest generation by compare and set and
// returns the generation after it. An edit that changes nothing commits
// nothing. It returns a RaceError, and changes nothing, if another operator
// was first; and platform.ErrUnknown, wrapped, if the effect is unknown.
func Commit(ctx context.Context, services platform.Services, edit Edit) (*config.Config, error) {
	before, head, version, err := ReadConfig(ctx, services)
	if err != nil {
		return nil, err
	}
	delta, err := edit(before)
	if err != nil {
		return nil, err
	}
	if delta.Empty() {
		return before, nil
	}
	token := platform.NewToken()
	change, err := config.NewChange(before, delta, token)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	after, err := before.Apply(change)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	if problems := config.Check(after.Document()); len(problems) > 0 {
		return nil, problems
	}
	if err := write(ctx, services, before, head, version, change); err != nil {
		if trace.IsCompareFailed(err) {
			return nil, lost(ctx, services, before)
		}
		return nil, err
	}
	return after, nil
}

// write commits the change and the head together.
func write(ctx context.Context, services platform.Services, before *config.Config, head config.Head, version uint64, change config.Change) error {
	next := config.Head{Generation: change.Generation, Digest: change.Digest, Snapshot: head.Snapshot}
	if before.Generation() >= head.Snapshot+snapshotEvery {
		if err := putObject(ctx, services, router.SnapshotName(before.Generation()), before.Snapshot()); err != nil {
			return err
		}
		next.Snapshot = before.Generation()
	}
	if len(change.Delta) > inlineLimit {
		if err := services.PutObject(ctx, router.DeltaName(change.Digest), change.Delta); err != nil {
			return fmt.Errorf("operator: delta: %w", err)
		}
		change.Delta = nil
	}
	changeRow, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("operator: encode change: %w", err)
	}
	headRow, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("operator: encode head: %w", err)
	}
	err = services.Commit(ctx, change.Token,
		platform.Write{Key: router.ChangeKey(change.Generation), Data: changeRow},
		platform.Write{Key: router.HeadKey(), ExpectedVersion: version, Data: headRow})
	if err != nil {
		return fmt.Errorf("operator: commit: %w", err)
	}
	return nil
}

func putObject(ctx context.Context, objects platform.ObjectStore, name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("operator: encode %s: %w", name, err)
	}
	if err := objects.PutObject(ctx, name, raw); err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	return nil
}

// lost returns the RaceError that tells what the other operators changed.
func lost(ctx context.Context, services platform.Services, before *config.Config) error {
	now, _, _, err := ReadConfig(ctx, services)
	if err != nil {
		return fmt.Errorf("operator: lost a race: %w", err)
	}
	return &ConflictError{Generation: now.Generation(), Changed: DescribeDelta(before.Diff(now.Document()))}
}

// ReplaceConfig returns the edit that makes a document the configuration. Keys are
// left as they are when the document has none; on, if not zero, is the
// generation that the document was made from.
func ReplaceConfig(doc config.Document, on uint64) Edit {
	return func(c *config.Config) (config.Delta, error) {
		if on > 0 && c.Generation() != on {
			return config.Delta{}, fmt.Errorf("%w: %d, not %d", ErrGenerationMismatch, c.Generation(), on)
		}
		next := doc
		if len(next.Keys) == 0 {
			next.Keys = keysOf(c, doc)
		}
		return c.Diff(next), nil
	}
}

// keysOf returns the keys in force whose teams remain.
func keysOf(c *config.Config, doc config.Document) []config.Key {
	teams := make(map[string]bool, len(doc.Teams))
	for _, t := range doc.Teams {
		teams[t.Name] = true
	}
	var kept []config.Key
	for _, k := range c.Keys().Sorted() {
		if teams[k.Team] {
			kept = append(kept, k)
		}
	}
	return kept
}

// DescribeDelta lists what a delta sets and drops, one entry for each item.
func DescribeDelta(d config.Delta) []string {
	var out []string
	out = describe(out, "zone", d.Set.Zones, d.Drop.Zones)
	out = describe(out, "model", d.Set.Models, d.Drop.Models)
	out = describe(out, "engine", d.Set.Engines, d.Drop.Engines)
	out = describe(out, "service", d.Set.Services, d.Drop.Services)
	out = describe(out, "team", d.Set.Teams, d.Drop.Teams)
	out = describe(out, "key", d.Set.Keys, d.Drop.Keys)
	out = describe(out, "route", d.Set.Routes, d.Drop.Routes)
	out = describe(out, "retired", d.Set.RetiredVMs, d.Drop.RetiredVMs)
	if d.Set.Policy != nil {
		out = append(out, "set policy")
	}
	return out
}

func describe[T config.Item](out []string, kind string, set []T, drop []string) []string {
	for _, item := range set {
		out = append(out, "set "+kind+" "+item.Key())
	}
	for _, name := range drop {
		out = append(out, "drop "+kind+" "+name)
	}
	return out
}
