package placement

import "time"

// Call is what a decision depends on of a call.
type Call struct {
	// Model is empty for a call to a plain server.
	Model string
	// InputTokens is the length of the prompt. SharedTokens is the length of the
	// leading parts that other calls may have in common with it.
	InputTokens  int
	SharedTokens int
	LatencyGoal  time.Duration
	// BytesPerToken and LinkMbps describe the transfer of cached parts between engines;
	// a LinkMbps of zero means that the time of a transfer is not known.
	BytesPerToken float64
	LinkMbps      float64
	// MemoryTokens is what the call will hold in an engine's memory beside shared parts, or
	// zero if that does not matter. HeadroomTokens is the free memory that an engine needs to
	// count as one with room: what the largest calls hold, since small calls would otherwise
	// take the room that large ones wait for.
	MemoryTokens   int
	HeadroomTokens int
	// Priority is 0 for the most urgent calls.
	Priority int
	// AvoidIdle is set while some servers refuse calls: those that run far fewer calls than
	// the others may be the ones, and look the most attractive.
	AvoidIdle bool
}

// Server is what is known of a server.
type Server struct {
	Zone string
	// Load is the number of calls of all VMs on the server, Slots the number that it
	// runs at once, or zero if that is not known.
	Load  int
	Slots int
	// PendingTokens is the number of prompt tokens that the server has yet to process,
	// TokensPerMilli how many it processes in a millisecond.
	PendingTokens  int
	TokensPerMilli float64
	// MemoryTokens is what calls hold in the server's memory, CapacityTokens its size, or
	// zero if that is not known.
	MemoryTokens   int
	CapacityTokens int
	// Refusing is set while calls keep away because the server refused calls without
	// running them.
	Refusing bool
	// Accepting is set if the server accepted a call of this VM in the last moments.
	Accepting bool
	// Excluded servers are not selected. InBackoff is set while a server fails,
	// Reloading while it loads weights.
	Excluded  bool
	InBackoff bool
	Reloading bool
	// AtLimit is set if the server starts or recovers and has as many calls of this VM as
	// it should.
	AtLimit bool
	// Version is the version of the call's model that the server runs, or zero.
	Version int64
	// OutdatedFor is how long ago a newer version was declared; it is negative if
	// Version is the newest.
	OutdatedFor time.Duration
	// CacheSalt is the salt under which the server finds parts for the call.
	CacheSalt string
	// HeldTokens is the length of the leading shared parts that the server is believed
	// to have cached.
	HeldTokens int
}

// Source is an engine or KV cache store from which engines can fetch parts.
type Source struct {
	// Server is the index of an engine among the servers, or -1 for the KV cache store.
	Server    int
	CacheSalt string
	// ReadyTokens is the length of the leading shared parts that the source has.
	ReadyTokens int
	Address     string
	Zone        string
}

// View is what is known when a call is placed.
type View struct {
	// Zone is the zone of this VM. SilentZones holds the zones that seem to be
	// partitioned.
	Zone        string
	SilentZones map[string]bool
	// VMs is the number of VMs that place calls by the same, lagging, figures.
	VMs     int
	Servers []Server
	// Sources is sorted by descending ReadyTokens. KnownTokens is the largest number of
	// tokens of the call's shared parts that some holder has, or is about to have,
	// under each salt.
	Sources     []Source
	KnownTokens map[string]int
	// StoreAddress is the KV cache store for the call's parts, or empty.
	StoreAddress string
	StoreZone    string
	// MaxOutdated is how long a call may begin on weights after newer ones were
	// declared.
	MaxOutdated time.Duration
}

// zoneReachable reports whether an engine in one zone can reach another zone. A
// fetch from an unreachable source costs more than processing the tokens.
func (v *View) zoneReachable(from, to string) bool { return from == to || !v.SilentZones[to] }
