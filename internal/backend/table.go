package backend

import (
	"maps"
	"sync"
	"time"
)

// Times that the table keeps by.
const (
	// minimumRest and maximumRest bound how long a failing server is passed over.
	minimumRest = 250 * time.Millisecond
	maximumRest = 4 * time.Second
	// trusted is for how long an answer to this VM outweighs the failures that
	// others tell of; some servers fail only some VMs.
	trusted = 500 * time.Millisecond
	// peerLife is how long the load that another VM told is believed.
	peerLife = 3 * time.Second
	// reloadLife is how long an announced order is believed without a sign of
	// its end; it exceeds the emptying of an engine, its wait for others that
	// load, and its own loading.
	reloadLife = 3 * time.Second
	// goneRest keeps a server that was found to be another one out of choice
	// until the list has caught up.
	goneRest = 3 * time.Second
)

// Server is a listed backend server.
type Server struct {
	ID string
	// Born tells incarnations under one ID apart, in Unix milliseconds.
	Born     int64
	Service  string
	Address  string
	Zone     string
	Draining bool
	Slots    int
	// Orders counts the orders that it has accepted.
	Orders int64
	// Models maps the models that it runs to their versions.
	Models map[string]int64
}

// record is what is known of one server beside its listing.
type record struct {
	server Server
	// versions overlays what the list says with newer knowledge. A change makes
	// a new map: Status values share it.
	versions map[string]int64
	inFlight int
	// pending are the prompt tokens sent to it whose first event is not there.
	pending int
	// others is the sum of what the other VMs told of last.
	others Load
	// failures counts failures in a row; the server rests until restUntil.
	failures  int
	restUntil time.Duration
	// answered is when it last answered this VM well.
	answered time.Duration
	// reloading is until when an announced order keeps it out of choice, and
	// awaited what it will run then.
	reloading time.Duration
	awaited   int64
	// missing is since when the list lacks it while that may mean nothing.
	missing time.Duration
}

// peer is what one other VM told of last, by the incarnation it meant.
type peer struct {
	at    time.Duration
	loads map[*record]Load
}

// Load is one VM's calls on a server, and the prompt tokens that the server has
// yet to read for them.
type Load struct {
	Calls   int
	Pending int
}

func (l *Load) add(o Load) {
	l.Calls += o.Calls
	l.Pending += o.Pending
}

// Table holds the records of all listed servers by ID. It is safe for
// concurrent use. Times are those of a clock that the caller passes.
type Table struct {
	mu      sync.Mutex // guards the fields below
	servers map[string]*record
	peers   map[string]*peer
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: make(map[string]*record), peers: make(map[string]*peer)}
}

// Put takes in the listing of one server. It reports whether the server is new
// or a new incarnation.
func (t *Table) Put(s Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[s.ID]
	if r == nil || r.server.Born != s.Born || r.server.Address != s.Address {
		t.servers[s.ID] = &record{server: s, versions: maps.Clone(s.Models)}
		return true
	}
	r.server = s
	r.missing = 0
	for m, v := range s.Models {
		r.learn(m, v)
	}
	return false
}

func (r *record) learn(model string, version int64) {
	if r.versions[model] < version {
		r.set(model, version)
	}
	if version >= r.awaited {
		r.reloading = 0
	}
}

func (r *record) set(model string, version int64) {
	next := make(map[string]int64, len(r.versions)+1)
	maps.Copy(next, r.versions)
	next[model] = version
	r.versions = next
}

// Remove takes a server out of the table.
func (t *Table) Remove(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.servers[id]
	delete(t.servers, id)
	return ok
}

// MarkMissing notes that a reading of the whole list lacks a server.
func (t *Table) MarkMissing(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.missing == 0 {
		r.missing = now
	}
}

// ExpireMissing removes the servers that were missing for grace, and returns them.
func (t *Table) ExpireMissing(now, grace time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, r := range t.servers {
		if r.missing != 0 && now-r.missing >= grace {
			delete(t.servers, id)
			out = append(out, id)
		}
	}
	return out
}

// Get returns a server by ID.
func (t *Table) Get(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return Server{}, false
	}
	return r.server, true
}

// Version returns the version of a model that a server is known to run.
func (t *Table) Version(id, model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		return r.versions[model]
	}
	return 0
}

// RaiseVersion records the version that an incarnation was seen to run.
func (t *Table) RaiseVersion(id string, born int64, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born {
		r.learn(model, version)
	}
}

// SetVersion sets the version that an incarnation said it runs, also an older one
// than was known.
func (t *Table) SetVersion(id string, born int64, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born {
		r.set(model, version)
		r.learn(model, version)
	}
}

// BeginReload keeps an incarnation out of choice while it loads weights, until it is
// known to run the version or reloadLife has passed.
func (t *Table) BeginReload(id string, born int64, model string, version int64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born && r.versions[model] < version {
		r.reloading, r.awaited = now+reloadLife, version
	}
}

// CancelReload takes Reload back.
func (t *Table) CancelReload(id string, born int64, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born && r.awaited <= version && r.versions[model] < version {
		r.reloading = 0
	}
}

// Reloading reports whether a server is kept out of choice to load weights.
func (t *Table) Reloading(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	return r != nil && now < r.reloading
}

// Begin counts a call on a server with the prompt tokens to be read for it.
func (t *Table) Begin(id string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.inFlight++
		r.pending += tokens
	}
}

// PromptRead records that a call's prompt has been read.
func (t *Table) PromptRead(id string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.pending = max(0, r.pending-tokens)
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

// RecordSuccess ends a row of failures, and reports whether there was one.
func (t *Table) RecordSuccess(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return false
	}
	failed := r.failures > 0
	r.failures, r.restUntil, r.answered = 0, 0, now
	return failed
}

// RecordFailure makes a server rest, longer for each failure in a row. It returns the
// number of failures in a row, and for how long the server rests.
func (t *Table) RecordFailure(id string, now time.Duration) (failures int, rest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return 0, 0
	}
	r.failures++
	rest = min(minimumRest<<min(r.failures-1, 8), maximumRest)
	r.restUntil = now + rest
	return r.failures, rest
}

// RecordPeerFailure takes in that an incarnation failed another VM. It rests a
// little longer here, so that not all VMs try it again at once, unless it has
// just answered this one.
func (t *Table) RecordPeerFailure(id string, born int64, failures int, rest, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil || r.server.Born != born || r.answered != 0 && now-r.answered < trusted {
		return
	}
	r.failures = max(r.failures, failures)
	r.restUntil = max(r.restUntil, now+min(rest, maximumRest)*3/2)
}

// RecordPeerSuccess takes in that an incarnation that had failed answered
// another VM.
func (t *Table) RecordPeerSuccess(id string, born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.server.Born == born {
		r.failures, r.restUntil = 0, 0
	}
}

// RecordReplaced makes a server rest whose address answers as another one.
func (t *Table) RecordReplaced(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil {
		r.failures++
		r.restUntil = now + goneRest
	}
}

// Loads returns what this VM, and other VMs as they told last, have on each
// server that has any of it.
func (t *Table) Loads(vms ...string) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load)
	for id, r := range t.servers {
		if r.inFlight > 0 {
			out[id] = Load{Calls: r.inFlight, Pending: r.pending}
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

// SetPeerLoads replaces what another VM told of its calls on servers.
func (t *Table) SetPeerLoads(vm string, loads map[string]Load, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(vm)
	p := &peer{at: now, loads: make(map[*record]Load, len(loads))}
	for id, l := range loads {
		if r := t.servers[id]; r != nil {
			p.loads[r] = l
			r.others.add(l)
		}
	}
	t.peers[vm] = p
}

// forget takes back what another VM told of.
func (t *Table) forget(vm string) {
	p := t.peers[vm]
	if p == nil {
		return
	}
	for r, l := range p.loads {
		r.others.add(Load{Calls: -l.Calls, Pending: -l.Pending})
	}
	delete(t.peers, vm)
}

// lapse forgets the VMs that were silent for too long to be believed.
func (t *Table) lapse(now time.Duration) {
	for vm, p := range t.peers {
		if now-p.at >= peerLife {
			t.forget(vm)
		}
	}
}

// Load returns the calls of all VMs on a server.
func (t *Table) Load(id string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(now)
	if r := t.servers[id]; r != nil {
		return r.status(now).Load
	}
	return 0
}

// Status is what is known of one server.
type Status struct {
	Server Server `json:"server"`
	// Versions is not to be changed.
	Versions  map[string]int64 `json:"versions,omitempty"`
	InFlight  int              `json:"inflight"`
	Load      int              `json:"load"`
	Pending   int              `json:"pending"`
	InBackoff   bool             `json:"resting"`
	Reloading bool             `json:"reloading"`
	Failures  int              `json:"failures"`
}

// Statuses returns the state of all servers of a service, in no order.
func (t *Table) Statuses(service string, now time.Duration) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(now)
	out := make([]Status, 0, len(t.servers))
	for _, r := range t.servers {
		if service == "" || r.server.Service == service {
			out = append(out, r.status(now))
		}
	}
	return out
}

func (r *record) status(now time.Duration) Status {
	return Status{
		Server: r.server, Versions: r.versions, InFlight: r.inFlight,
		Load: r.inFlight + r.others.Calls, Pending: r.pending + r.others.Pending,
		InBackoff: now < r.restUntil, Reloading: now < r.reloading, Failures: r.failures,
	}
}
