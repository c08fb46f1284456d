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

// snapshotInterval is the number of generations after which a new snapshot is stored.
const snapshotInterval = 32

// maxInlineDeltaBytes bounds a delta that is stored in the row of its change. Larger
// ones are stored in the object store.
const maxInlineDeltaBytes = 200 << 10

// ErrGenerationMismatch means that the newest generation is not the one that the
// operator expected.
var ErrGenerationMismatch = errors.New("operator: generation mismatch")

// ConflictError means that another operator committed first. The failed commit changed
// nothing.
type ConflictError struct {
	// Generation is the newest generation; Changed lists the items that were
	// set or dropped since the generation that the failed commit was based on.
	Generation uint64
	Changed    []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another operator committed generation %d first, which changed %s; read it and apply again",
		e.Generation, strings.Join(e.Changed, ", "))
}

// ReadConfig returns the newest configuration, its head, and the version of the
// head's row.
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

// Edit returns the change to make to a configuration.
type Edit func(c *config.Config) (config.Delta, error)

// Commit applies an edit to the newest configuration by compare-and-set and returns
// the result. If the edit changes nothing, Commit writes nothing. It returns a
// ConflictError if another operator committed first, and platform.ErrOutcomeUnknown,
// wrapped, if the outcome is unknown.
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
	if err := commitChange(ctx, services, before, head, version, change); err != nil {
		if trace.IsCompareFailed(err) {
			return nil, newConflictError(ctx, services, before)
		}
		return nil, err
	}
	return after, nil
}

// commitChange writes the rows of the change and of the head in one transaction. It
// first stores a snapshot, if one is due, and the delta, if it is too large for its
// row.
func commitChange(ctx context.Context, services platform.Services, before *config.Config, head config.Head, version uint64, change config.Change) error {
	next := config.Head{Generation: change.Generation, Digest: change.Digest, Snapshot: head.Snapshot}
	if before.Generation() >= head.Snapshot+snapshotInterval {
		if err := putObject(ctx, services, router.SnapshotName(before.Generation()), before.Snapshot()); err != nil {
			return err
		}
		next.Snapshot = before.Generation()
	}
	if len(change.Delta) > maxInlineDeltaBytes {
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

// newConflictError returns the ConflictError for a commit that was based on before.
func newConflictError(ctx context.Context, services platform.Services, before *config.Config) error {
	now, _, _, err := ReadConfig(ctx, services)
	if err != nil {
		return fmt.Errorf("operator: read the configuration after a conflict: %w", err)
	}
	return &ConflictError{Generation: now.Generation(), Changed: DescribeDelta(before.Diff(now.Document()))}
}

// ReplaceConfig returns the edit that replaces the configuration by a document. If the
// document has no keys, the keys of the remaining teams are retained. If expected is
// not zero, the edit fails with ErrGenerationMismatch unless it is the newest
// generation.
func ReplaceConfig(doc config.Document, expected uint64) Edit {
	return func(c *config.Config) (config.Delta, error) {
		if expected > 0 && c.Generation() != expected {
			return config.Delta{}, fmt.Errorf("%w: the newest is %d, expected %d", ErrGenerationMismatch, c.Generation(), expected)
		}
		next := doc
		if len(next.Keys) == 0 {
			next.Keys = retainedKeys(c, doc)
		}
		return c.Diff(next), nil
	}
}

// retainedKeys returns the keys of c whose teams are in doc.
func retainedKeys(c *config.Config, doc config.Document) []config.Key {
	teams := make(map[string]bool, len(doc.Teams))
	for _, t := range doc.Teams {
		teams[t.Name] = true
	}
	var retained []config.Key
	for _, k := range c.Keys().Sorted() {
		if teams[k.Team] {
			retained = append(retained, k)
		}
	}
	return retained
}

// DescribeDelta lists the items that a delta sets and drops, one entry for each.
func DescribeDelta(d config.Delta) []string {
	var out []string
	out = appendItems(out, "zone", d.Set.Zones, d.Drop.Zones)
	out = appendItems(out, "model", d.Set.Models, d.Drop.Models)
	out = appendItems(out, "engine", d.Set.Engines, d.Drop.Engines)
	out = appendItems(out, "service", d.Set.Services, d.Drop.Services)
	out = appendItems(out, "team", d.Set.Teams, d.Drop.Teams)
	out = appendItems(out, "key", d.Set.Keys, d.Drop.Keys)
	out = appendItems(out, "route", d.Set.Routes, d.Drop.Routes)
	out = appendItems(out, "retired", d.Set.RetiredVMs, d.Drop.RetiredVMs)
	if d.Set.Policy != nil {
		out = append(out, "set policy")
	}
	return out
}

func appendItems[T config.Item](out []string, kind string, set []T, drop []string) []string {
	for _, item := range set {
		out = append(out, "set "+kind+" "+item.Key())
	}
	for _, name := range drop {
		out = append(out, "drop "+kind+" "+name)
	}
	return out
}
