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

// Bounds of one exchange about the configuration.
const (
	followTimeout = 2 * time.Second
	gossipTimeout = 400 * time.Millisecond
)

// Rows and objects of the configuration.
const configGroup = "config"

// HeadKey returns the key of the head row.
func HeadKey() platform.Key { return platform.Key{Group: configGroup, Name: "head"} }

// ChangeKey returns the key of a change's row.
func ChangeKey(generation uint64) platform.Key {
	return platform.Key{Group: "change", Name: strconv.FormatUint(generation, 10)}
}

// SnapshotName returns the name of a generation's object.
func SnapshotName(generation uint64) string {
	return "snapshot/" + strconv.FormatUint(generation, 10)
}

// DeltaName returns the name of the object that holds a large change.
func DeltaName(digest string) string { return "delta/" + digest }

// follower brings newer generations into force, from peers or the platform.
type follower struct {
	r *Router
	// rounds counts the rounds of gossip.
	rounds atomic.Int64

	mu sync.Mutex // held while one goroutine catches up
}

func newFollower(r *Router) *follower { return &follower{r: r} }

// start asks seeds, peers and the platform together at the process's start.
func (f *follower) start() {
	for _, seed := range f.r.settings.Seeds {
		go f.hello(seed)
		go f.join(seed)
	}
	f.poll()
}

// poll reads the head from the platform.
func (f *follower) poll() {
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	asked := f.r.clock.Now()
	head, _, err := ReadHead(ctx, f.r.platform)
	if err != nil {
		event.ConfigReadFailed.Log(f.r.log, err, nil)
		return
	}
	if head.Generation > f.r.configTracker.Current().Generation() {
		f.catchUp(ctx, head)
	}
	f.r.configTracker.RecordProof(head.Generation, asked)
}

// join asks a seed for the VMs, so that a router that starts while the
// platform is out knows its peers.
func (f *follower) join(address string) {
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
	f.greet()
}

// ReadHead returns the head and its version, zero before the first change.
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

// catchUp brings the generations up to head into force.
func (f *follower) catchUp(ctx context.Context, head config.Head) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.r.configTracker.Current()
	if current.Generation() >= head.Generation {
		return
	}
	if behind := head.Generation - current.Generation(); behind > maxSteps && head.Snapshot > current.Generation() {
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
	f.inForce("platform")
}

// maxSteps is how many changes are read one by one before a snapshot is used.
const maxSteps = 16

func (f *follower) install(c *config.Config, err error) {
	if err != nil {
		event.ConfigReadFailed.Log(f.r.log, err, nil)
		return
	}
	f.r.configTracker.Install(c)
}

func (f *follower) apply(c config.Change) bool {
	if err := f.r.configTracker.Apply(c); err != nil {
		event.ConfigInvalid.Log(f.r.log, err, log.Fields{"generation": c.Generation})
		return false
	}
	return true
}

// inForce does what a new generation asks for at once.
func (f *follower) inForce(source string) {
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

// LoadSnapshot reads a whole generation from the object store.
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

// ReadChange reads one change, and its delta from the object store if the row
// is too small for it.
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
