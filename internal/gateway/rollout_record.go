package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
)

const (
	// rolloutRecordPrefix and the name of a service make up the name of a rollout's record.
	rolloutRecordPrefix = "rollout/"
	// rolloutStoreTimeout bounds one call to the store.
	rolloutStoreTimeout = time.Second
)

// rolloutRecord is the state of the newest rollout of a service in the store.
type rolloutRecord struct {
	Revision int64         `json:"revision"`
	To       string        `json:"to"`
	State    rollout.State `json:"state"`
	// Reported is set once the platform has been told of a final state.
	Reported bool `json:"reported"`
	// Old lists the releases that ran before the order, Banned those that were rolled back
	// or replaced before it.
	Old    []string `json:"old"`
	Banned []string `json:"banned"`
	// Start is the time of the order in the store's time, in milliseconds.
	Start     int64 `json:"start"`
	Requests  int64 `json:"requests"`
	Exposures int64 `json:"exposures"`
	Fence     int64 `json:"fence"`
}

// outcome returns which releases may run, and which may not, after the rollout. One that
// has not ended was replaced by a newer order, or its order was withdrawn.
func (r rolloutRecord) outcome() (old, banned []string) {
	if r.Revision == 0 {
		return nil, nil
	}
	if r.State == rollout.Done {
		return []string{r.To}, append(append([]string(nil), r.Banned...), r.Old...)
	}
	return r.Old, append(append([]string(nil), r.Banned...), r.To)
}

func isRolloutState(s rollout.State) bool {
	return s == rollout.Running || s == rollout.Done || s == rollout.RolledBack
}

// readRollout reads the record of a service's newest rollout. One that cannot be decoded
// counts as missing: the next write replaces it.
func (g *Gateway) readRollout(ctx context.Context, service string) (lease.Record, rolloutRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	var r rolloutRecord
	raw, err := g.adapter.Store().Read(ctx, rolloutRecordPrefix+service)
	if err != nil {
		return raw, r, fmt.Errorf("gateway: rollout of %s: %w", service, err)
	}
	if raw.Version == 0 {
		return raw, r, nil
	}
	err = json.Unmarshal(raw.Value, &r)
	if err == nil && (r.Revision < 1 || r.To == "" || !isRolloutState(r.State)) {
		err = fmt.Errorf("revision %d to %q in state %q", r.Revision, r.To, r.State)
	}
	if err != nil {
		event.RolloutStoreFailed.Log(g.log, fmt.Errorf("decode: %w", err), log.Fields{"service": service, "version": raw.Version})
		return raw, rolloutRecord{}, nil
	}
	return raw, r, nil
}

// writeRollout replaces the record of a service's newest rollout.
func (g *Gateway) writeRollout(ctx context.Context, service string, r rolloutRecord, version int64) (lease.Record, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return lease.Record{}, fmt.Errorf("gateway: rollout of %s: %w", service, err)
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	written, err := g.adapter.Store().CompareAndSwap(ctx, rolloutRecordPrefix+service, value, version)
	if err != nil {
		return lease.Record{}, fmt.Errorf("gateway: rollout of %s: %w", service, err)
	}
	return written, nil
}

// applyRecord takes over what a record tells of the releases of a service, and reports
// whether it ends the rollout.
func (r *rollouts) applyRecord(service string, x rolloutRecord) (ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	defer s.acceptPending(r.confirmedAt)
	s.needsRecord = false
	if isWrittenAgain(x.Revision, x.To, s.order) {
		s.order.Revision = x.Revision
	}
	switch {
	case x.Revision == 0:
		return false
	case x.Revision != s.order.Revision:
		if s.order.Revision == 0 || s.order.Revision > x.Revision {
			s.adopt(x.outcome())
		}
		return false
	}
	if s.state != rollout.Running {
		s.reported = s.reported || x.Reported
		return false
	}
	s.adopt(x.Old, x.Banned)
	if x.State == rollout.Running {
		return false
	}
	s.finish(x.State)
	s.reported = x.Reported
	return true
}

// recordsToRead returns the services whose records this VM must read now, and plans the
// next reads.
func (r *rollouts) recordsToRead(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, s := range r.services {
		if len(s.releases) > 0 && (s.needsRecord || s.isRunning()) && now >= s.nextRead {
			s.nextRead = now + recordReadPeriod
			out = append(out, name)
		}
	}
	return out
}
