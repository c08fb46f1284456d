package backend

import (
	"container/list"
	"maps"
	"sync"
	"time"
)

// Timeouts and backoff bounds of the table.
const (
	// minBackoff and maxBackoff bound how long a failing server is excluded from
	// selection.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// localSuccessPrecedence is how long a success on this VM takes precedence over
	// failures that peers report: some servers fail only for some VMs.
	localSuccessPrecedence = 500 * time.Millisecond
	// peerLoadTTL is how long the load reported by another VM remains valid.
	peerLoadTTL = 3 * time.Second
	// reloadTimeout is how long an announced load order excludes a server without a
	// sign of its end. It exceeds the draining of an engine, its wait for other
	// engines that load, and its own loading.
	reloadTimeout = 3 * time.Second
	// replacedBackoff excludes a server whose address answers as another one until
	// the list has caught up.
	replacedBackoff = 3 * time.Second
	// minRefusalBackoff and maxRefusalBackoff bound how long a server that refused a call
	// without running it is excluded on this VM. Engines that load weights refuse for
	// about two seconds.
	minRefusalBackoff = 300 * time.Millisecond
	maxRefusalBackoff = 1200 * time.Millisecond
	// refusalProbeTime excludes such a server after its backoff while one call probes it.
	refusalProbeTime = 200 * time.Millisecond
	// acceptanceAge is how long a call that a server accepted shows that it accepts calls.
	acceptanceAge = time.Second
)

// Server is a listed backend server.
type Server struct {
	ID string
	// Born distinguishes incarnations under one ID, in Unix milliseconds.
	Born     int64
	Service  string
	Address  string
	Zone     string
	Draining bool
	// Release is the version of the server's software, which says nothing of the versions
	// of models.
	Release string
	Slots   int
	// Orders counts the orders that the server has accepted.
	Orders int64
	// ColdLeft is how much longer the server stays slow after its start.
	ColdLeft time.Duration
	// Models maps each model that the server runs to its version.
	Models map[string]int64
}

// record is the state of one server beyond its listing.
type record struct {
	server Server
	// versions overrides the listed versions with newer ones. It is replaced, never
	// modified: Status values share it.
	versions map[string]int64
	inFlight int
	// pendingTokens counts the prompt tokens sent to the server for calls that have
	// not produced their first event.
	pendingTokens int
	// heldHere counts the tokens that the calls of this VM hold in the server's memory for
	// themselves, and this VM's shares of heldParts, the shared parts that they hold or held
	// recently.
	heldHere  int
	heldParts map[string]*heldPart
	// peerLoad is the sum of the loads last reported by the other VMs.
	peerLoad Load
	// failures counts consecutive failures; the server is excluded until backoffUntil.
	failures     int
	backoffUntil time.Duration
	// refusals counts the consecutive calls of this VM that the server refused without
	// running them, the last one at refusedAt; it is excluded until refusedUntil. Other VMs
	// are not told. probing is set while the outcome of a call that was sent since is open.
	refusals     int
	refusedAt    time.Duration
	refusedUntil time.Duration
	probing      bool
	// listedAt is when this VM first saw the incarnation in the list, zero if that is not
	// known.
	listedAt time.Duration
	// acceptedAt is when the last call of this VM was sent that the server runs.
	acceptedAt time.Duration
	// lastSuccess is the time of its last successful answer to this VM.
	lastSuccess time.Duration
	// reloadUntil is until when an announced load order excludes the server, and
	// reloadVersion the version that it will then run.
	reloadUntil   time.Duration
	reloadVersion int64
	// leaving is set once an answer of this incarnation has said that it leaves, which
	// the list may not say yet or ever.
	leaving bool
	// missingUntil is until when a server that is missing from the list may come back
	// and is used; zero if it is listed.
	missingUntil time.Duration
}

// peerReport is the last load report of another VM. It is keyed by record, so that
// it refers to the incarnation known when it arrived.
type peerReport struct {
	receivedAt time.Duration
	loads      map[*record]Load
}

// Load is the calls of one VM on a server, the prompt tokens that the server has yet to
// process for them, and the tokens that they hold in its memory.
type Load struct {
	Calls   int
	Pending int
	Held    int
}

func (l *Load) add(o Load) {
	l.Calls += o.Calls
	l.Pending += o.Pending
	l.Held += o.Held
}

// Table holds the records of all listed servers by ID. It is safe for
// concurrent use. Times are those of a clock that the caller passes.
type Table struct {
	mu      sync.Mutex // guards the fields below
	servers map[string]*record
	peers   map[string]*peerReport
	// vms is the number of VMs that send calls to the servers.
	vms int
	// idleParts lists the held parts that no call holds, in the order of their release.
	idleParts *list.List
	// prefill holds the prefill rates by service.
	prefill map[string]*prefillRate
	// backoffs holds until when incarnations asked this VM for no requests, or is nil.
	backoffs map[incarnation]time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		vms: 1, idleParts: list.New(), servers: make(map[string]*record), peers: make(map[string]*peerReport), prefill: make(map[string]*prefillRate),
	}
}

// Put adds or updates the listing of one server. It reports whether the server is
// new or a new incarnation.
func (t *Table) Put(s Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[s.ID]
	if r == nil || r.server.Born != s.Born || r.server.Address != s.Address {
		t.servers[s.ID] = &record{server: s, versions: maps.Clone(s.Models)}
		return true
	}
	r.server = s
	r.missingUntil = 0
	for m, v := range s.Models {
		r.raiseVersion(m, v)
	}
	return false
}

func (r *record) raiseVersion(model string, version int64) {
	if r.versions[model] < version {
		r.setVersion(model, version)
	}
	if version >= r.reloadVersion {
		r.reloadUntil = 0
	}
}

func (r *record) setVersion(model string, version int64) {
	next := make(map[string]int64, len(r.versions)+1)
	maps.Copy(next, r.versions)
	next[model] = version
	r.versions = next
}

// SetListedAt records when this VM first saw a server in the list.
func (t *Table) SetListedAt(id string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.listedAt = at
	}
}

// ListedFor returns for how long this VM has known an incarnation of a server, zero if it
// does not know it or since when.
func (t *Table) ListedFor(id string, born int64, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil || r.server.Born != born || r.listedAt == 0 {
		return 0
	}
	return now - r.listedAt
}

// Remove removes a server and reports whether it was in the table.
func (t *Table) Remove(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.servers[id]
	delete(t.servers, id)
	return ok
}

// MarkMissing records that a server is missing from the list but may come back until a
// time. It is used until then, unless it was missing before.
func (t *Table) MarkMissing(id string, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.missingUntil == 0 {
		r.missingUntil = until
	}
}

// gone reports whether a server has been missing from the list for too long.
func (r *record) gone(now time.Duration) bool { return r.missingUntil != 0 && now >= r.missingUntil }

// ExpireMissing removes the servers that have been missing for too long, and returns
// them.
func (t *Table) ExpireMissing(now time.Duration) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Server
	for id, r := range t.servers {
		if r.gone(now) {
			delete(t.servers, id)
			out = append(out, r.server)
		}
	}
	return out
}

// Get returns a server by ID.
func (t *Table) Get(id string, now time.Duration) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil || r.gone(now) {
		return Server{}, false
	}
	return r.listing(), true
}

// listing returns the server as it is listed, draining also if it has said itself that
// it leaves.
func (r *record) listing() Server {
	s := r.server
	s.Draining = s.Draining || r.leaving
	return s
}

// MarkLeaving records that an incarnation has said that it leaves, and reports whether
// that is news.
func (t *Table) MarkLeaving(id string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil || r.server.Born != born || r.leaving {
		return false
	}
	r.leaving = true
	return true
}

// Version returns the version of a model that a server is known to run, zero if
// none is known.
func (t *Table) Version(id, model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		return r.versions[model]
	}
	return 0
}

// RaiseVersion records the version that an incarnation was observed to run, unless
// a newer one is known.
func (t *Table) RaiseVersion(id string, born int64, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born {
		r.raiseVersion(model, version)
	}
}

// SetVersion records the version that an incarnation reported itself, even if a
// newer one was known.
func (t *Table) SetVersion(id string, born int64, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born {
		r.setVersion(model, version)
		r.raiseVersion(model, version)
	}
}

// BeginReload excludes an incarnation from selection while it loads weights, until
// it is known to run the version or reloadTimeout has passed.
func (t *Table) BeginReload(id string, born int64, model string, version int64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born && r.versions[model] < version {
		r.reloadUntil, r.reloadVersion = now+reloadTimeout, version
	}
}

// CancelReload undoes BeginReload, unless a later version has been announced.
func (t *Table) CancelReload(id string, born int64, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born && r.reloadVersion <= version && r.versions[model] < version {
		r.reloadUntil = 0
	}
}

// Reloading reports whether a server is excluded from selection because it loads
// weights.
func (t *Table) Reloading(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	return r != nil && now < r.reloadUntil
}

// Begin counts a call on a server and the prompt tokens to be processed for it.
func (t *Table) Begin(id string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.inFlight++
		r.pendingTokens += tokens
	}
}

// PromptRead records that the server has processed the prompt of a call.
func (t *Table) PromptRead(id string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.pendingTokens = max(0, r.pendingTokens-tokens)
	}
}

// End ends a call that Begin counted.
func (t *Table) End(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.inFlight = max(0, r.inFlight-1)
	}
}

// RecordSuccess resets the consecutive failures of a server, and reports whether
// there were any.
func (t *Table) RecordSuccess(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return false
	}
	failed := r.failures > 0
	r.failures, r.backoffUntil, r.lastSuccess = 0, 0, now
	return failed
}

// RecordFailure excludes a server for a time that doubles with each consecutive
// failure, up to maxBackoff. It returns the number of consecutive failures and
// the time.
func (t *Table) RecordFailure(id string, now time.Duration) (failures int, backoff time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return 0, 0
	}
	r.failures++
	backoff = min(minBackoff<<min(r.failures-1, 8), maxBackoff)
	r.backoffUntil = now + backoff
	return r.failures, backoff
}

// RecordPeerFailure records that an incarnation failed on another VM. It is excluded
// half as long again here, so that not all VMs retry it at once, unless it has
// just answered this VM.
func (t *Table) RecordPeerFailure(id string, born int64, failures int, backoff, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil || r.server.Born != born || r.lastSuccess != 0 && now-r.lastSuccess < localSuccessPrecedence {
		return
	}
	r.failures = max(r.failures, failures)
	r.backoffUntil = max(r.backoffUntil, now+min(backoff, maxBackoff)*3/2)
}

// RecordPeerSuccess records that an incarnation that had failed has answered another
// VM.
func (t *Table) RecordPeerSuccess(id string, born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born {
		r.failures, r.backoffUntil = 0, 0
	}
}

// RecordReplaced excludes a server whose address answers as another server.
func (t *Table) RecordReplaced(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.failures++
		r.backoffUntil = now + replacedBackoff
	}
}

// Loads returns the load of this VM, plus that last reported by the given VMs, on
// each server that has any.
func (t *Table) Loads(vms ...string) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load)
	for id, r := range t.servers {
		if r.inFlight > 0 {
			out[id] = Load{Calls: r.inFlight, Pending: r.pendingTokens, Held: r.heldHere}
		}
	}
	for _, vm := range vms {
		p := t.peers[vm]
		if p == nil {
			continue
		}
		for r, l := range p.loads {
			sum := out[r.server.ID]
			sum.add(l)
			out[r.server.ID] = sum
		}
	}
	return out
}

// SetPeerLoads replaces the loads reported by another VM.
func (t *Table) SetPeerLoads(vm string, loads map[string]Load, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removePeer(vm)
	p := &peerReport{receivedAt: now, loads: make(map[*record]Load, len(loads))}
	for id, l := range loads {
		if r := t.servers[id]; r != nil {
			p.loads[r] = l
			r.peerLoad.add(l)
		}
	}
	t.peers[vm] = p
}

// removePeer subtracts and deletes the loads reported by another VM.
func (t *Table) removePeer(vm string) {
	p := t.peers[vm]
	if p == nil {
		return
	}
	for r, l := range p.loads {
		r.peerLoad.add(Load{Calls: -l.Calls, Pending: -l.Pending, Held: -l.Held})
	}
	delete(t.peers, vm)
}

// expirePeers removes the loads of VMs that have not reported within peerLoadTTL.
func (t *Table) expirePeers(now time.Duration) {
	for vm, p := range t.peers {
		if now-p.receivedAt >= peerLoadTTL {
			t.removePeer(vm)
		}
	}
}

// Load returns the number of calls of all VMs on a server.
func (t *Table) Load(id string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(now)
	if r := t.servers[id]; r != nil {
		return r.status(now).Load
	}
	return 0
}

// CallsOn returns the number of calls of all VMs on the servers of a service that match.
func (t *Table) CallsOn(service string, matches func(Server) bool, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(now)
	calls := 0
	for _, r := range t.servers {
		if r.server.Service == service && matches(r.server) {
			calls += r.status(now).Load
		}
	}
	return calls
}

// Status is a snapshot of the state of one server.
type Status struct {
	Server Server `json:"server"`
	// BackingOff is set while the server has asked this VM to send it no requests.
	BackingOff bool `json:"backing_off"`
	// Versions is shared and must not be modified.
	Versions map[string]int64 `json:"versions,omitempty"`
	InFlight int              `json:"inflight"`
	Load     int              `json:"load"`
	Pending  int              `json:"pending"`
	// TokensPerMilli is the number of prompt tokens that the server processes in a
	// millisecond.
	TokensPerMilli float64 `json:"rate"`
	// HeldTokens estimates what the calls of all VMs hold in the server's memory.
	HeldTokens int  `json:"held"`
	InBackoff  bool `json:"resting"`
	// Refusing is set while the server is excluded because it refused calls of this VM
	// without running them.
	Refusing bool `json:"refusing"`
	// Accepting is set if the server accepted a call of this VM in the last moments.
	Accepting bool `json:"accepting"`
	Reloading bool `json:"reloading"`
	Failures  int  `json:"failures"`
}

// Statuses returns the state of all servers of a service, in no particular order. An
// empty service means all services.
func (t *Table) Statuses(service string, now time.Duration) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(now)
	out := make([]Status, 0, len(t.servers))
	for _, r := range t.servers {
		if (service == "" || r.server.Service == service) && !r.gone(now) {
			s := r.status(now)
			s.TokensPerMilli = t.prefill[r.server.Service].tokens()
			s.BackingOff = now < t.backoffs[incarnation{r.server.ID, r.server.Born}]
			out = append(out, s)
		}
	}
	return out
}

func (r *record) status(now time.Duration) Status {
	return Status{
		Server: r.listing(), Versions: r.versions, InFlight: r.inFlight,
		Load: r.inFlight + r.peerLoad.Calls, Pending: r.pendingTokens + r.peerLoad.Pending,
		HeldTokens: r.heldHere + r.peerLoad.Held, Refusing: now < r.refusedUntil,
		Accepting: r.refusals == 0 && r.acceptedAt > 0 && now-r.acceptedAt < acceptanceAge,
		InBackoff: now < r.backoffUntil, Reloading: now < r.reloadUntil, Failures: r.failures,
	}
}
