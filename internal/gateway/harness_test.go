package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/marjoramrock/marjoramrock/internal/loopback"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/marjoramrock/marjoramrock/internal/weights"
	"github.com/stretchr/testify/require"
)

// emptyFeed never responds; tests fill the tables themselves.
type emptyFeed struct{}

func (emptyFeed) Snapshot(ctx context.Context) (feed.Page, error) {
	<-ctx.Done()
	return feed.Page{}, ctx.Err()
}

func (emptyFeed) Changes(ctx context.Context, _ feed.Cursor, _ time.Duration) (feed.Page, error) {
	return emptyFeed{}.Snapshot(ctx)
}

// memoryStore is a Store that keeps lease records in memory.
type memoryStore struct {
	mu   sync.Mutex
	rows map[string]lease.Record
	// loseResponse names a record whose next write is made, but reported as failed.
	loseResponse string
	// reports holds the states of rollouts that the platform was told.
	reports []string
}

func (m *memoryStore) Read(_ context.Context, name string) (lease.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec := m.rows[name]
	rec.Now = now()
	return rec, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, name string, value []byte, version int64) (lease.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows[name].Version != version {
		return lease.Record{}, lease.ErrConflict
	}
	rec := lease.Record{Value: value, Version: version + 1, Now: now()}
	m.rows[name] = rec
	if name == m.loseResponse {
		m.loseResponse = ""
		return lease.Record{}, errResponseLost
	}
	return rec, nil
}

var errResponseLost = errors.New("response lost")

func (m *memoryStore) version(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[name].Version
}

func (m *memoryStore) Join(context.Context, string, string) error     { return nil }
func (m *memoryStore) Leave(context.Context, string) error            { return nil }
func (m *memoryStore) VMs(context.Context) (map[string]string, error) { return nil, nil }

func (m *memoryStore) ReportRollout(_ context.Context, service string, state rollout.State, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports = append(m.reports, service+" "+string(state)+" "+to)
	return nil
}

func (m *memoryStore) reported() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.reports...)
}

func (a *fakeAdapter) Order(context.Context, backend.Server, weights.Order) error {
	return errors.New("orders not supported")
}
func (a *fakeAdapter) WaitKVCacheEvents(_ context.Context, address string, since int64, _ time.Duration) (KVCacheEvents, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.events == nil {
		return KVCacheEvents{Epoch: 1}, nil
	}
	return a.events(address, since)
}
func (a *fakeAdapter) Store() Store              { return a.store }
func (a *fakeAdapter) Declarations() feed.Source { return emptyFeed{} }
func (a *fakeAdapter) ServerList() feed.Source   { return emptyFeed{} }

// fakeAdapter is an Adapter whose servers respond as the test specifies.
type fakeAdapter struct {
	store *memoryStore

	mu       sync.Mutex
	attempts []*Attempt
	events   func(address string, since int64) (KVCacheEvents, error)
	respond  func(ctx context.Context, n int, a *Attempt) (*Response, error)
	// reportErr is the error of reports; nil means that engines answer.
	reportErr error
}

func (a *fakeAdapter) Report(context.Context, backend.Server) (weights.Report, error) {
	return weights.Report{}, a.reportErr
}

func (a *fakeAdapter) DecodeDeclaration(string, []byte) (Declaration, error) {
	return Declaration{}, errors.New("not a declaration")
}

func (a *fakeAdapter) DecodeServer(string, []byte) (backend.Server, error) {
	return backend.Server{}, errors.New("not a server")
}

func (a *fakeAdapter) Send(ctx context.Context, t *Attempt) (*Response, error) {
	a.mu.Lock()
	a.attempts = append(a.attempts, t)
	n := len(a.attempts)
	a.mu.Unlock()
	return a.respond(ctx, n, t)
}

func (a *fakeAdapter) CloseExpired() {}

func (a *fakeAdapter) sentAttempts() []*Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*Attempt(nil), a.attempts...)
}

// responseRecorder records the response to a caller.
type responseRecorder struct {
	refusal *Refusal
	status  int
	body    bytes.Buffer
	aborted bool
	// failWrites makes Write fail, as after the caller has left.
	failWrites bool
}

func (c *responseRecorder) Refuse(r Refusal) error { c.refusal = &r; return nil }

func (c *responseRecorder) WriteHeader(status int, _ http.Header, _ int64) error {
	c.status = status
	return nil
}

func (c *responseRecorder) Write(p []byte) error {
	if c.failWrites {
		return errors.New("caller left")
	}
	c.body.Write(p)
	return nil
}

func (c *responseRecorder) Abort() { c.aborted = true }

var testBounds = Bounds{
	KeyRevocation: config.Duration(5 * time.Second), ServerDrain: config.Duration(2 * time.Second), ShutdownGrace: config.Duration(8 * time.Second),
	OrderHandover: config.Duration(3 * time.Second), OutdatedVersion: config.Duration(8 * time.Second), RetryRatio: 0.2, RetryAllowance: 50,
	RetryWindow: config.Duration(10 * time.Second), RateWindow: config.Duration(8 * time.Second),
}

// newTestGateway returns a gateway in front of two engines and two plain servers.
func newTestGateway(t testing.TB, respond func(ctx context.Context, n int, a *Attempt) (*Response, error)) (*Gateway, *fakeAdapter) {
	t.Helper()
	return newNamedTestGateway(t, "vm1", respond)
}

// newNamedTestGateway is newTestGateway for a VM with a name.
func newNamedTestGateway(t testing.TB, vm string, respond func(ctx context.Context, n int, a *Attempt) (*Response, error)) (*Gateway, *fakeAdapter) {
	t.Helper()
	a := &fakeAdapter{reportErr: errors.New("reports not supported"), store: &memoryStore{rows: make(map[string]lease.Record)}, respond: respond}
	g, err := New(Settings{
		QueueCalls: true,
		VM:         vm, Zone: "z1", PeerAddress: loopback.FreeAddress(t), FirstStart: true, Bounds: testBounds,
	}, a, &log.Logger{Handler: discard.New()})
	require.NoError(t, err)
	t.Cleanup(g.Close)
	routes := []*catalog.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.AtMostOnce, Timeout: time.Second, LatencyGoal: 100 * time.Millisecond, MaxAttempts: 1,
			Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
		{Name: "idempotent", Host: "h", Prefix: "/idempotent/", Kind: catalog.Idempotent, Timeout: time.Second, LatencyGoal: 100 * time.Millisecond, MaxAttempts: 2,
			Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
		{Name: "public", Host: "h", Prefix: "/public/", Kind: catalog.Idempotent, Timeout: time.Second, LatencyGoal: 100 * time.Millisecond, MaxAttempts: 2,
			Public: true, Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Stream, Timeout: 2 * time.Second, LatencyGoal: 100 * time.Millisecond, MaxAttempts: 1,
			Targets: []catalog.Target{{Service: "model", Weight: 1}}},
		{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: catalog.Stream, Timeout: 4 * time.Second, LatencyGoal: 100 * time.Millisecond,
			EventGapGoal: 100 * time.Millisecond, MaxAttempts: 2, Resumable: true, Targets: []catalog.Target{{Service: "model", Weight: 1}}},
		{Name: "long goals", Host: "h", Prefix: "/long-goals/", Kind: catalog.Stream, Timeout: 4 * time.Second, LatencyGoal: time.Second,
			EventGapGoal: time.Second, MaxAttempts: 2, Resumable: true, Targets: []catalog.Target{{Service: "model", Weight: 1}}},
	}
	services := []*catalog.Service{
		{Name: "plain"},
		{Name: "model", Engine: &catalog.Engine{Slots: 8, CapacityTokens: 10000, BytesPerToken: 1000, LinkMbps: 1000}},
		{Name: "kvstore", KVCacheStore: &catalog.KVCacheStore{Address: "9.9.9.9:9", Zone: "z1", CapacityTokens: 100000}},
	}
	teams := []*catalog.Team{
		{Name: "team", Keys: []string{"key"}, Rate: 1000, Burst: 1000, DefaultCallTokens: 10},
		{Name: "isolated", Keys: []string{"isolated-key"}, Isolated: true},
	}
	g.catalog.Put(catalog.New(1, routes, services, teams))
	g.catalog.SetTargetVersion("m", 1, g.now())
	g.catalog.RecordProof(g.now())
	for _, id := range []string{"p1", "p2"} {
		g.table.Put(backend.Server{ID: id, Service: "plain", Address: id, Zone: "z1", Slots: 6})
	}
	for _, id := range []string{"e1", "e2"} {
		g.table.Put(backend.Server{ID: id, Service: "model", Address: id, Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
	}
	return g, a
}

// serveCall makes a call and returns the recorded response.
func serveCall(t *testing.T, g *Gateway, path, key string) *responseRecorder {
	t.Helper()
	c := &responseRecorder{}
	g.Serve(context.Background(), newCall(path, key), c)
	return c
}

func newCall(path, key string) *Call {
	c := &Call{ID: "id", Method: http.MethodPost, Path: path, RequestURI: path, Host: "h", Header: http.Header{}, Key: key}
	if path == "/stream/" || path == "/resumable/" || path == "/long-goals/" {
		c.Prompt = parts.Prompt{Model: "m", InputTokens: 300, MaxOutputTokens: 10, Parts: []parts.Part{{ID: "a", Tokens: 200}, {ID: "own", Tokens: 100}}}
		c.TokensKnown = true
	}
	return c
}

func newResponse(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

// truncatedResponse returns a response whose body fails after some text.
func truncatedResponse(body string) *Response {
	return &Response{
		Status: http.StatusOK, Header: http.Header{}, ContentLength: -1,
		Body: io.NopCloser(io.MultiReader(strings.NewReader(body), failingReader{})),
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func notRunResponse(status int) *Response {
	resp := newResponse(status, "")
	resp.NotRun = true
	return resp
}

// now returns the time of the gateway's clock.
func now() time.Duration { return timer.SinceBoot() }
