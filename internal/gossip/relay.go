package gossip

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/inbound"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

const (
	// relayPath is the path below which a VM serves its copies of tables.
	relayPath = "/feed/"
	// maxRelayResponseBytes bounds a response, which may hold a whole table: a
	// configuration may have thousands of routes.
	maxRelayResponseBytes = 32 << 20
	// maxRelayWait bounds how long the server holds a request to wait for changes.
	maxRelayWait = 5 * time.Second
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds the idle time after which VMs close their connections.
	idleTimeout = 2 * time.Minute
	// maxResponseWait is how long a response waits for memory, responseRetryDelay the time
	// between two attempts to get it.
	maxResponseWait    = time.Second
	responseRetryDelay = 20 * time.Millisecond
	// maxRelayHeaderBytes bounds the header of a request, which has about 200 bytes.
	maxRelayHeaderBytes = 4 << 10
)

// RelayOptions bound what the clients of a Relay may use.
type RelayOptions struct {
	Limits inbound.Limits
	// Responses bounds the memory of responses that are being written. It may be nil. A
	// response that finds it full is status 503, and OnFull is called.
	Responses *buffer.Budget
	OnFull    func(from string)
}

// ErrTableUnavailable means that the other VM does not have the table, or that its
// copy is not current.
var ErrTableUnavailable = errors.New("gossip: table not served by the other VM")

// Table is a VM's copy of a table of the store.
type Table interface {
	// Serve returns the changes after a position, or all rows. It waits up to wait for
	// a change.
	Serve(ctx context.Context, all bool, after feed.Cursor, wait time.Duration) (feed.Page, error)
}

// Relay serves a VM's copies of tables to other VMs over HTTP, so that only the
// leader of a zone needs to read the store.
type Relay struct{ server *http.Server }

// NewRelay listens on a TCP address and serves the tables by their names.
func NewRelay(address string, tables map[string]Table, o RelayOptions) (*Relay, error) {
	l, err := inbound.Listen(address, o.Limits)
	if err != nil {
		return nil, fmt.Errorf("gossip: relay: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+relayPath+"{table}", func(w http.ResponseWriter, r *http.Request) {
		t, ok := tables[r.PathValue("table")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		o.serveTable(w, r, t)
	})
	relay := &Relay{server: &http.Server{
		Handler: inbound.Handler(inbound.WithoutBody(mux)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxRelayHeaderBytes, ConnState: inbound.Track, ConnContext: inbound.ConnContext,
	}}
	go func() {
		// Serve returns after Close, or if the listener fails, which is not expected
		// while the VM runs.
		_ = relay.server.Serve(l)
	}()
	return relay, nil
}

// Close closes the listener and all connections without waiting for requests.
func (r *Relay) Close() { _ = r.server.Close() }

func (o RelayOptions) serveTable(w http.ResponseWriter, r *http.Request, t Table) {
	q := r.URL.Query()
	after := feed.Cursor{Generation: feed.GenerationUnknown}
	var errGeneration error
	if q.Has("generation") {
		after.Generation, errGeneration = strconv.ParseInt(q.Get("generation"), 10, 64)
	}
	var errAfter error
	after.Version, errAfter = strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := time.ParseDuration(q.Get("wait"))
	if errAfter != nil || errWait != nil || errGeneration != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	page, err := t.Serve(r.Context(), q.Get("all") == "true", after, min(wait, maxRelayWait))
	switch {
	case errors.Is(err, feed.ErrHistoryDropped):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size := page.Size()
	if !o.takeResponse(r.Context(), size) {
		o.OnFull(r.RemoteAddr)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer o.returnResponse(size)
	raw, err := cbor.Marshal(page)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	// A client whose connection failed sends the request again.
	_, _ = w.Write(raw)
}

// takeResponse waits up to maxResponseWait for the memory of a response: after the start of
// a zone, all of its VMs read whole tables at once.
func (o RelayOptions) takeResponse(ctx context.Context, size int) bool {
	if o.Responses == nil {
		return true
	}
	for deadline := time.Now().Add(maxResponseWait); !o.Responses.Take(size); {
		if time.Now().After(deadline) || !timer.Sleep(ctx, responseRetryDelay) {
			return false
		}
	}
	return true
}

func (o RelayOptions) returnResponse(size int) {
	if o.Responses != nil {
		o.Responses.Return(size)
	}
}

// RemoteTable is a table that another VM serves. It implements feed.Source.
type RemoteTable struct {
	Pool    *upstream.Pool
	Address string
	Table   string
}

// Snapshot implements feed.Source.
func (t RemoteTable) Snapshot(ctx context.Context) (feed.Page, error) {
	return t.fetch(ctx, url.Values{"all": {"true"}, "after": {"0"}, "wait": {"0s"}})
}

// Changes implements feed.Source.
func (t RemoteTable) Changes(ctx context.Context, after feed.Cursor, wait time.Duration) (feed.Page, error) {
	return t.fetch(ctx, url.Values{
		"after": {strconv.FormatInt(after.Version, 10)}, "generation": {strconv.FormatInt(after.Generation, 10)}, "wait": {wait.String()},
	})
}

func (t RemoteTable) fetch(ctx context.Context, q url.Values) (feed.Page, error) {
	var page feed.Page
	resp, err := t.Pool.Do(ctx, t.Address, &upstream.Request{
		Method: http.MethodGet, Target: relayPath + t.Table + "?" + q.Encode(), Host: t.Address, Header: http.Header{},
	})
	if err != nil {
		return page, fmt.Errorf("gossip: relay: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := upstream.ReadAll(resp.Body, maxRelayResponseBytes)
	if err != nil {
		return page, fmt.Errorf("gossip: relay: %w", err)
	}
	switch resp.Status {
	case http.StatusOK:
	case http.StatusGone:
		return page, feed.ErrHistoryDropped
	default:
		return page, fmt.Errorf("%w: status %d", ErrTableUnavailable, resp.Status)
	}
	if err := cbor.Unmarshal(raw, &page); err != nil {
		return page, fmt.Errorf("gossip: relay: %w", err)
	}
	if page.Generation < 0 || page.Generation > feed.MaxGeneration {
		return page, fmt.Errorf("%w: generation %d", ErrTableUnavailable, page.Generation)
	}
	return page, nil
}
