package event

import "github.com/apex/log"

// Event is one kind of log line.
type Event struct {
	number int
	level  log.Level
	text   string
}

// Number returns the event's number, which is unique.
func (e Event) Number() int { return e.number }

// Text returns the message of the event's log lines.
func (e Event) Text() string { return e.text }

// Level returns the event's severity.
func (e Event) Level() log.Level { return e.level }

// The events. The hundreds digit of the number is the subject: 1 process,
// 2 configuration, 3 list of VMs and slots, 4 loans of rate limit tokens,
// 5 requests, 6 engines and other backend servers, 7 peers, 8 claims of calls that
// run at most once.
var (
	Started               = add(100, log.InfoLevel, "router started")
	Draining              = add(101, log.InfoLevel, "draining: accepting no new requests")
	Stopped               = add(102, log.InfoLevel, "router stopped")
	Paused                = add(103, log.WarnLevel, "process was paused")
	StateDumped           = add(104, log.InfoLevel, "state dump")
	ListenerFailed        = add(105, log.ErrorLevel, "listener failed")
	LinesDropped          = add(106, log.WarnLevel, "log lines dropped")
	SettingsReread        = add(107, log.InfoLevel, "settings file read again; changes take effect after a restart")
	ConnectionClosed      = add(108, log.WarnLevel, "connection closed or refused: a limit is reached")
	BodyRefused           = add(109, log.WarnLevel, "request body refused: the buffers are full")
	PeerLimitReached      = add(110, log.WarnLevel, "message of a VM ignored, or its request refused: a limit is reached")
	SettingsInvalid       = add(111, log.ErrorLevel, "settings file cannot be read or is invalid")
	BoundsDefaulted       = add(112, log.WarnLevel, "settings do not state all bounds; defaults apply")
	ConfigApplied         = add(200, log.InfoLevel, "configuration applied")
	ConfigReadFailed      = add(201, log.WarnLevel, "configuration could not be read")
	ConfigInvalid         = add(202, log.ErrorLevel, "configuration change is invalid")
	ConfigUnconfirmed     = add(203, log.WarnLevel, "configuration has not been confirmed as current recently")
	StoreUnreachable      = add(204, log.WarnLevel, "store unreachable")
	StoreReachable        = add(205, log.InfoLevel, "store reachable again")
	HistoryDropped        = add(206, log.WarnLevel, "changes are no longer in the store's history; reading the whole table")
	RowLapsed             = add(207, log.InfoLevel, "row removed around an outage of the store; it may come back")
	StoreRestored         = add(208, log.WarnLevel, "the store came back from an older copy; reading the whole table")
	RowLost               = add(209, log.WarnLevel, "row missing from the copy that the store came back from; it stays in force until it is written again")
	RowsRewritten         = add(210, log.InfoLevel, "own row written again after the store came back from an older copy")
	ConfigLost            = add(211, log.WarnLevel, "the store came back with an older configuration than the one in force; it confirms no keys until it has that one")
	ConfigConfirmed       = add(212, log.InfoLevel, "configuration confirmed again after the store came back from an older copy")
	GenerationReadFailed  = add(213, log.WarnLevel, "record of when the generation of the store was first seen could not be read or written")
	VMListFailed          = add(300, log.WarnLevel, "VM list could not be read or updated")
	SlotTaken             = add(301, log.InfoLevel, "slot taken")
	SlotLost              = add(302, log.WarnLevel, "slot lost")
	SlotReleased          = add(303, log.InfoLevel, "slot released")
	SlotReadFailed        = add(304, log.WarnLevel, "slots could not be read")
	SlotConflict          = add(306, log.DebugLevel, "slot row not written: changed by another VM, or the write failed")
	SlotInvalid           = add(305, log.ErrorLevel, "slot row cannot be parsed")
	LoanFailed            = add(400, log.DebugLevel, "loan of rate limit tokens not obtained")
	ReportLost            = add(401, log.DebugLevel, "reports on loans of rate limit tokens not delivered")
	ChargesUnconfirmed    = add(402, log.WarnLevel, "other VMs have not confirmed charges to teams lately; teams get this VM's part only")
	ChargesConfirmed      = add(403, log.InfoLevel, "other VMs confirm charges to teams again")
	RequestRefused        = add(500, log.DebugLevel, "request refused")
	RequestFailed         = add(501, log.WarnLevel, "request failed")
	StreamResumed         = add(502, log.InfoLevel, "stream resumed on its engine")
	StreamContinued       = add(503, log.InfoLevel, "stream continued on another engine")
	StreamBroken          = add(504, log.WarnLevel, "stream ended with an error event")
	StreamRevoked         = add(505, log.InfoLevel, "stream ended: key revoked")
	ChunkUnexpected       = add(506, log.WarnLevel, "received a chunk of another request or out of order")
	RequestEnded          = add(507, log.InfoLevel, "request ended")
	AttemptFailed         = add(508, log.InfoLevel, "attempt at a backend server failed")
	StreamMoved           = add(509, log.InfoLevel, "stream moved from an engine that is about to load other weights")
	HandoverFailed        = add(510, log.InfoLevel, "no other server took a running call over; it stays")
	PartRefused           = add(511, log.InfoLevel, "request refused: a part of its prompt is in quarantine")
	CallWaited            = add(512, log.InfoLevel, "request waited in the queue of its service before it was sent")
	CapacityRefused       = add(513, log.InfoLevel, "request refused: no engine can begin it in time")
	RetryRefused          = add(514, log.InfoLevel, "request refused: no retry is available in time")
	EngineRefused         = add(515, log.InfoLevel, "engine refused a request without running it; this VM avoids it for a while")
	EngineLoadReadFailed  = add(600, log.DebugLevel, "engine load could not be read")
	EngineRestarted       = add(601, log.WarnLevel, "engine has a new incarnation")
	OrderSent             = add(602, log.InfoLevel, "order sent to engine")
	OrderFailed           = add(603, log.WarnLevel, "order to engine failed")
	AnswerEmpty           = add(604, log.WarnLevel, "engine returned an empty answer")
	AnswerVersionMismatch = add(605, log.WarnLevel, "answer from another weights version discarded")
	EngineUnresponsive    = add(606, log.WarnLevel, "engine responds to neither requests nor probes")
	ServerListed          = add(607, log.InfoLevel, "backend server listed")
	ServerDelisted        = add(608, log.InfoLevel, "backend server no longer listed")
	ServerInvalid         = add(609, log.WarnLevel, "backend server entry cannot be parsed")
	EngineReloaded        = add(610, log.InfoLevel, "engine runs a newer weights version")
	VersionDeclared       = add(611, log.InfoLevel, "model version declared")
	VersionHistoryFailed  = add(613, log.WarnLevel, "history of model versions could not be read or written")
	KVCacheStoreChanged   = add(614, log.WarnLevel, "KV cache store went down, recovered or lost its contents")
	OrderLeaseFailed      = add(612, log.WarnLevel, "lease for engine orders could not be acquired, renewed or released")
	CallBrokenOff         = add(615, log.InfoLevel, "engine broke off a call before it generated anything")
	QuarantineBegan       = add(616, log.WarnLevel, "part of prompts crashes engines; calls with it are refused")
	QuarantineRenewed     = add(617, log.WarnLevel, "trial call crashed its engine; quarantine renewed")
	QuarantineTrial       = add(618, log.InfoLevel, "trial call with a part in quarantine")
	QuarantineEnded       = add(619, log.InfoLevel, "quarantine ended")
	QuarantineStoreFailed = add(620, log.WarnLevel, "quarantines could not be read or written")
	ServerLeaving         = add(621, log.InfoLevel, "backend server says that it leaves")
	RetryAfterInvalid     = add(622, log.WarnLevel, "backend server sent an invalid Retry-After")
	BackoffBegan          = add(623, log.InfoLevel, "backend server asked for no requests for some time")
	PaceBegan             = add(624, log.InfoLevel, "backend server starts or recovers; its calls are limited")
	PaceSlowed            = add(625, log.DebugLevel, "backend server responds more slowly than others; its limit falls")
	PaceSettled           = add(626, log.InfoLevel, "backend server responds as fast as others; its calls are no longer limited")
	EngineEnded           = add(627, log.InfoLevel, "engine that broke off a call takes no connections")
	ServerHeldBack        = add(628, log.InfoLevel, "the store came back with a backend server that was gone; it is not used for some time")
	RolloutOrdered        = add(630, log.InfoLevel, "rollout ordered")
	RolloutShareChanged   = add(631, log.InfoLevel, "share of the new version of a rollout changed")
	RolloutJudgedBad      = add(632, log.WarnLevel, "new version of a rollout judged bad")
	RolloutDone           = add(633, log.InfoLevel, "rollout done")
	RolloutRolledBack     = add(634, log.WarnLevel, "rollout rolled back")
	RolloutGrantExpired   = add(635, log.InfoLevel, "grant of a rollout expired; the new version gets no calls")
	RolloutStreamMoved    = add(636, log.InfoLevel, "stream moved from a server of the old version")
	RolloutStoreFailed    = add(637, log.WarnLevel, "state of a rollout could not be read or written")
	ReleaseHeldBack       = add(638, log.InfoLevel, "servers of an unknown version wait until the operators' table is confirmed")
	RolloutInvalid        = add(639, log.WarnLevel, "rollout order is invalid or names no known service")
	PeerMessageRejected   = add(700, log.WarnLevel, "peer message rejected")
	PeerUnreachable       = add(701, log.DebugLevel, "peer unreachable")
	PeerJoined            = add(702, log.InfoLevel, "first message from a new peer process")
	PeerLeft              = add(703, log.InfoLevel, "peer process is shutting down")
	OutcomeUnknown        = add(800, log.WarnLevel, "outcome of a claimed call is unknown")
	OutcomeStored         = add(801, log.DebugLevel, "outcome of a claimed call stored")
	OutcomeStoreFailed    = add(802, log.ErrorLevel, "outcome or cancellation of a claimed call could not be stored")
	ClaimInvalid          = add(803, log.ErrorLevel, "claim row cannot be parsed")
)

var catalogue []Event

func add(number int, level log.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// All returns all events in the order of their declaration.
func All() []Event { return append([]Event(nil), catalogue...) }

// Log logs e with the given fields, and with err unless it is nil.
func (e Event) Log(l log.Interface, err error, fields log.Fields) {
	entry := l.WithField("event", e.number).WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	switch e.level {
	case log.DebugLevel:
		entry.Debug(e.text)
	case log.WarnLevel:
		entry.Warn(e.text)
	case log.ErrorLevel:
		entry.Error(e.text)
	default:
		entry.Info(e.text)
	}
}
