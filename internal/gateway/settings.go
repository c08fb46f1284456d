package gateway

import (
	"fmt"
	"math"
	"os"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
)

// Settings configure a gateway process. They are read at startup.
type Settings struct {
	// VM, Zone and Region say where the process runs.
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// ClientAddress serves callers, ReadinessAddress the readiness check of the load
	// balancer, PeerAddress the other VMs, and MetricsAddress the operators.
	ClientAddress    string `json:"entry"`
	ReadinessAddress string `json:"ready"`
	PeerAddress      string `json:"peer"`
	MetricsAddress   string `json:"metrics"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"store"`
	// Seeds are the addresses of VMs that may know others.
	Seeds []string `json:"seeds"`
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool `json:"first"`
	// MemoryLimitMB is the memory limit of the process, in megabytes.
	MemoryLimitMB int `json:"memory"`
	// Contracts names what the platform has agreed with its users. Only the adapter knows
	// the names.
	Contracts []string `json:"contracts,omitempty"`
	// QueueCalls makes calls wait for engines whose slots and memory are declared, in place
	// of sending them to engines that are full or refuse calls. The adapter sets it.
	QueueCalls bool   `json:"-"`
	Bounds     Bounds `json:"bounds"`
	// DefaultedBounds names the bounds that the settings file does not state, which have
	// their defaults.
	DefaultedBounds []string `json:"-"`
	// Limits bound what clients may use.
	Limits ClientLimits `json:"limits,omitzero"`
}

// Bounds are the limits that operators guarantee to their users.
type Bounds struct {
	// KeyRevocation is how long a revoked key may still be accepted.
	KeyRevocation config.Duration `json:"revoke"`
	// ServerDrain is how long a leaving backend server may still get new calls.
	ServerDrain config.Duration `json:"leave"`
	// ShutdownGrace is the time between the request to stop and the kill.
	ShutdownGrace config.Duration `json:"grace"`
	// OrderHandover is the minimum time between orders of two VMs to one engine.
	OrderHandover config.Duration `json:"lease"`
	// OutdatedVersion is how long after a new version is declared calls may still
	// begin on older weights.
	OutdatedVersion config.Duration `json:"version"`
	// RetryRatio is the share of calls, and RetryAllowance the number of calls in
	// addition, that all VMs together may retry within RetryWindow.
	RetryRatio     float64         `json:"repeats"`
	RetryAllowance float64         `json:"spare"`
	RetryWindow    config.Duration `json:"window"`
	// A team exceeds its rate if it uses more tokens within RateWindow than its rate
	// and burst allow, plus RateExcessRatio of that, plus RateSlackTokens.
	RateWindow      config.Duration `json:"span"`
	RateExcessRatio float64         `json:"over"`
	RateSlackTokens float64         `json:"slack"`
	// Exposure limits rollouts of software versions; nil turns them off, in a settings file
	// also an object that holds no value.
	Exposure *ExposureBounds `json:"expose,omitempty"`
}

// ExposureBounds limit what a bad software version may get.
type ExposureBounds struct {
	// Share is the part of the requests of a service between the order of a rollout and its
	// deadline, and Slack the number in addition, that a bad version may get.
	Share float64 `json:"share"`
	Slack float64 `json:"slack"`
	// Rollback is how long after its 50th bad answer a version may still get requests.
	Rollback config.Duration `json:"rollback"`
}

// Defaults of the bounds. A platform states only those of the contracts that are in force.
const (
	defaultKeyRevocation   = 5 * time.Second
	defaultServerDrain     = 2 * time.Second
	defaultShutdownGrace   = 8 * time.Second
	defaultOrderHandover   = 3 * time.Second
	defaultOutdatedVersion = 8 * time.Second
	defaultRetryRatio      = 0.2
	defaultRetryAllowance  = 50
	defaultRetryWindow     = 10 * time.Second
	defaultRateWindow      = 8 * time.Second
	defaultRateExcessRatio = 0.1
)

// unstatedShare is the share of exposure bounds that state none. It is no number of JSON.
var unstatedShare = math.Inf(1)

// defaultBounds returns the bounds of a process whose settings state none, with the share
// unstatedShare.
func defaultBounds() Bounds {
	return Bounds{
		Exposure:      &ExposureBounds{Share: unstatedShare},
		KeyRevocation: config.Duration(defaultKeyRevocation), ServerDrain: config.Duration(defaultServerDrain),
		ShutdownGrace: config.Duration(defaultShutdownGrace), OrderHandover: config.Duration(defaultOrderHandover),
		OutdatedVersion: config.Duration(defaultOutdatedVersion), RetryRatio: defaultRetryRatio, RetryAllowance: defaultRetryAllowance,
		RetryWindow: config.Duration(defaultRetryWindow), RateWindow: config.Duration(defaultRateWindow), RateExcessRatio: defaultRateExcessRatio,
	}
}

// LoadSettings reads and checks a settings file. The error lists all problems.
func LoadSettings(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("gateway: settings: %w", err)
	}
	var stated Settings
	if err := config.ReadSettings(file, raw, &stated); err != nil {
		return Settings{}, fmt.Errorf("gateway: settings: %w", err)
	}
	s := Settings{Bounds: defaultBounds()}
	if err := config.ReadSettings(file, raw, &s); err != nil {
		return Settings{}, fmt.Errorf("gateway: settings: %w", err)
	}
	s.DefaultedBounds = defaultedBounds(stated.Bounds, s.Bounds)
	if *s.Bounds.Exposure == (ExposureBounds{Share: unstatedShare}) {
		s.Bounds.Exposure = nil
	} else {
		s.Bounds.Exposure = stated.Bounds.Exposure
	}
	if err := s.check(file); err != nil {
		return s, fmt.Errorf("gateway: settings: %w", err)
	}
	return s, nil
}

// defaultedBounds returns the names of the bounds that are zero as stated, but not in force:
// one that is stated as zero is zero in both.
func defaultedBounds(stated, inForce Bounds) []string {
	var names []string
	inForceBounds := inForce.withDefaults()
	for i, b := range stated.withDefaults() {
		if b.value == 0 && inForceBounds[i].value != 0 {
			names = append(names, b.name)
		}
	}
	return names
}

// bound is a bound with its name in the settings file.
type bound struct {
	name  string
	value float64
}

// withDefaults returns the bounds that have defaults, with durations in nanoseconds.
func (b Bounds) withDefaults() []bound {
	return []bound{
		{"bounds.revoke", float64(b.KeyRevocation)}, {"bounds.leave", float64(b.ServerDrain)}, {"bounds.grace", float64(b.ShutdownGrace)},
		{"bounds.lease", float64(b.OrderHandover)}, {"bounds.version", float64(b.OutdatedVersion)}, {"bounds.repeats", b.RetryRatio},
		{"bounds.spare", b.RetryAllowance}, {"bounds.window", float64(b.RetryWindow)}, {"bounds.span", float64(b.RateWindow)},
		{"bounds.over", b.RateExcessRatio},
	}
}

func (s Settings) check(file string) error {
	e := &config.SettingsError{File: file}
	report := func(field, text string) { e.Problems = append(e.Problems, field+": "+text) }
	for _, f := range []struct{ name, value string }{{"vm", s.VM}, {"zone", s.Zone}} {
		if f.value == "" {
			report(f.name, "empty; give it a value")
		}
	}
	for _, f := range []struct{ name, value string }{
		{"entry", s.ClientAddress}, {"ready", s.ReadinessAddress}, {"peer", s.PeerAddress}, {"metrics", s.MetricsAddress}, {"store", s.StoreAddress},
	} {
		if !config.IsAddress(f.value) {
			report(f.name, fmt.Sprintf("%q is no address; write IP:PORT", f.value))
		}
	}
	for _, f := range []struct {
		name  string
		value config.Duration
	}{
		{"bounds.revoke", s.Bounds.KeyRevocation}, {"bounds.leave", s.Bounds.ServerDrain}, {"bounds.grace", s.Bounds.ShutdownGrace},
		{"bounds.lease", s.Bounds.OrderHandover}, {"bounds.version", s.Bounds.OutdatedVersion}, {"bounds.window", s.Bounds.RetryWindow},
		{"bounds.span", s.Bounds.RateWindow},
	} {
		if time.Duration(f.value) <= 0 {
			report(f.name, "not above zero; write a duration such as \"5s\"")
		}
	}
	if s.Bounds.RateExcessRatio < 0 || s.Bounds.RateSlackTokens < 0 {
		report("bounds.over", "below zero; write a share of the rate such as 0.1")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryAllowance < 0 {
		report("bounds.repeats", "below zero; write a share of the calls such as 0.2")
	}
	if x := s.Bounds.Exposure; x != nil {
		if x.Share <= 0 || x.Share > 1 {
			report("bounds.expose.share", "not above zero and at most one; write a share of the requests such as 0.1")
		}
		if x.Slack < 0 {
			report("bounds.expose.slack", "below zero; write a number of requests such as 50")
		}
		if time.Duration(x.Rollback) <= 0 {
			report("bounds.expose.rollback", "not above zero; write a duration such as \"5s\"")
		}
	}
	s.Limits.check(report)
	if len(e.Problems) > 0 {
		return e
	}
	return nil
}
