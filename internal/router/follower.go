package router

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// Timeouts of configuration exchanges.
const (
	configSyncTimeout = 2 * time.Second
	gossipTimeout     = 400 * time.Millisecond
)

// configGroup is the group of the head row.
const configGroup = "config"

// HeadKey returns the key of the head row.
func HeadKey() platform.Key { return platform.Key{Group: configGroup, Name: "head"} }

// ChangeKey returns the key of the row of a change.
func ChangeKey(generation uint64) platform.Key {
	return platform.Key{Group: "change", Name: strconv.FormatUint(generation, 10)}
}

// SnapshotName returns the object name of a generation's snapshot.
func SnapshotName(generation uint64) string {
	return "snapshot/" + strconv.FormatUint(generation, 10)
}

// DeltaName returns the object name of a change that is too large for its row.
func DeltaName(digest string) string { return "delta/" + digest }

// configFollower keeps the configuration up to date from the platform and
// peers.
type configFollower struct {
	r *Router
	// rounds counts the rounds of gossip.
	rounds atomic.Int64

	mu sync.Mutex // held while one goroutine updates the configuration
}

func newConfigFollower(r *Router) *configFollower { return &configFollower{r: r} }

// start contacts the seeds and the platform concurrently when the process
// starts.
func (f *configFollower) start() {
	for _, seed := range f.r.settings.Seeds {
		go f.exchangeHello(seed)
		go f.fetchMembers(seed)
	}
	f.pollHead()
}

// pollHead reads the head row from the platform and applies any newer
// generations.
func (f *configFollower) pollHead() {
	ctx, cancel := context.WithTimeout(context.Background(), configSyncTimeout)
	defer cancel()
	requestedAt := f.r.clock.Now()
	head, _, err := ReadHead(ctx, f.r.platform)
	if err != nil {
		event.ConfigReadFailed.Log(f.r.log, err, nil)
		return
	}
	if head.Generation > f.r.configTracker.Current().Generation() {
		f.catchUp(ctx, head)
	}
	f.r.configTracker.RecordProof(head.Generation, requestedAt)
}

// fetchMembers asks a seed for the list of VMs, so that a router that starts
// during a platform outage knows its peers.
func (f *configFollower) fetchMembers(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
	defer cancel()
	members, err := peer.Call[*peer.Members](ctx, f.r.node, address, &peer.MembersRequest{})
	if err != nil {
		event.PeerUnreachable.Log(f.r.log, err, log.Fields{"peer": address})
		return
	}
	var list platform.VMList
	if err := json.Unmarshal(members.Data, &list); err != nil {
		event.PeerMessageRejected.Log(f.r.log, err, log.Fields{"from": address})
		return
	}
	f.r.view.UpdateFromPeer(list)
	f.gossipRound()
}

// ReadHead returns the head and the version of its row, which is zero before
// the first change.
func ReadHead(ctx context.Context, tables platform.TableStore) (config.Head, uint64, error) {
	var head config.Head
	row, err := tables.Get(ctx, HeadKey())
	if trace.IsNotFound(err) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, fmt.Errorf("router: head: %w", err)
	}
	if err := json.Unmarshal(row.Data, &head); err != nil {
		return head, 0, fmt.Errorf("router: head: %w", err)
	}
	return head, row.Version, nil
}

// catchUp applies the generations up to head.
func (f *configFollower) catchUp(ctx context.Context, head config.Head) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.r.configTracker.Current()
	if current.Generation() >= head.Generation {
		return
	}
	if behind := head.Generation - current.Generation(); behind > maxIncrementalChanges && head.Snapshot > current.Generation() {
		f.install(LoadSnapshot(ctx, f.r.platform, head.Snapshot))
	}
	for f.r.configTracker.Current().Generation() < head.Generation {
		change, err := ReadChange(ctx, f.r.platform, f.r.configTracker.Current().Generation()+1)
		if err != nil {
			event.ConfigReadFailed.Log(f.r.log, err, nil)
			return
		}
		if !f.apply(change) {
			return
		}
	}
	f.afterApply("platform")
}

// maxIncrementalChanges is how many changes are read one by one rather than
// from a snapshot.
const maxIncrementalChanges = 16

func (f *configFollower) install(c *config.Config, err error) {
	if err != nil {
		event.ConfigReadFailed.Log(f.r.log, err, nil)
		return
	}
	f.r.configTracker.Install(c)
}

func (f *configFollower) apply(c config.Change) bool {
	if err := f.r.configTracker.Apply(c); err != nil {
		event.ConfigInvalid.Log(f.r.log, err, log.Fields{"generation": c.Generation})
		return false
	}
	return true
}

// afterApply updates the state that depends on the configuration.
func (f *configFollower) afterApply(source string) {
	c := f.r.configTracker.Current()
	event.ConfigApplied.Log(f.r.log, nil, log.Fields{"generation": c.Generation(), "source": source})
	f.r.streams.revoke(c)
	f.r.queues.resize(f.r)
	names := make(map[string]bool, c.Engines().Len())
	for _, e := range c.Engines().Sorted() {
		names[e.Name] = true
	}
	f.r.engines.RemoveExcept(names)
}

// LoadSnapshot reads a generation's snapshot from the object store.
func LoadSnapshot(ctx context.Context, objects platform.ObjectStore, generation uint64) (*config.Config, error) {
	raw, err := objects.GetObject(ctx, SnapshotName(generation))
	if err != nil {
		return nil, fmt.Errorf("router: snapshot: %w", err)
	}
	return decodeSnapshot(raw)
}

func decodeSnapshot(raw []byte) (*config.Config, error) {
	var s config.Snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("router: decode snapshot: %w", err)
	}
	return config.FromSnapshot(s), nil
}

// ReadChange reads one change. Its delta is read from the object store if it
// was too large for the row.
func ReadChange(ctx context.Context, services platform.Services, generation uint64) (config.Change, error) {
	var change config.Change
	row, err := services.Get(ctx, ChangeKey(generation))
	if err != nil {
		return change, fmt.Errorf("router: change %d: %w", generation, err)
	}
	if err := json.Unmarshal(row.Data, &change); err != nil {
		return change, fmt.Errorf("router: change %d: %w", generation, err)
	}
	if len(change.Delta) == 0 || string(change.Delta) == "null" {
		change.Delta, err = services.GetObject(ctx, DeltaName(change.Digest))
	}
	if err != nil {
		return change, fmt.Errorf("router: change %d: %w", generation, err)
	}
	return change, nil
}
