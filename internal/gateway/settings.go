package gateway

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
)

// Settings are what one gateway process is told at its start.
type Settings struct {
	// VM, Zone and Region say where the process runs.
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// ClientAddress is the callers' address, Ready the balancer's, Peer the other
	// routers', Metrics the operators'.
	ClientAddress    string `json:"entry"`
	ReadinessAddress string `json:"ready"`
	PeerAddress      string `json:"peer"`
	MetricsAddress   string `json:"metrics"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"store"`
	// Seeds are VMs that may know others.
	Seeds []string `json:"seeds"`
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool `json:"first"`
	// MemoryLimitMB is the process's limit in megabytes.
	MemoryLimitMB int    `json:"memory"`
	Bounds        Bounds `json:"bounds"`
}

// Bounds are what operators promise their users.
type Bounds struct {
	// KeyRevocation is how long a withdrawn key may work.
	KeyRevocation config.Duration `json:"revoke"`
	// ServerDrain is how long a leaving backend server may still get calls.
	ServerDrain config.Duration `json:"leave"`
	// ShutdownGrace is the time from a request to stop to the kill.
	ShutdownGrace config.Duration `json:"grace"`
	// OrderHandover is the least time between orders of two VMs to one engine.
	OrderHandover config.Duration `json:"lease"`
	// OutdatedVersion is how long after its naming calls may begin on older weights.
	OutdatedVersion config.Duration `json:"version"`
	// RetryRatio is the part of calls, and Spare the number, that may be repeated
	// over all VMs within Window.
	RetryRatio     float64         `json:"repeats"`
	RetryAllowance float64         `json:"spare"`
	RetryWindow    config.Duration `json:"window"`
	// A team's rate counts as exceeded when it used, within RateWindow, a part of
	// Over more than its rate and burst allow, and Slack tokens beside.
	RateWindow      config.Duration `json:"span"`
	RateExcessRatio float64         `json:"over"`
	RateSlackTokens float64         `json:"slack"`
}

// LoadSettings reads and checks a settings file; it reports all problems at once.
func LoadSettings(file string) (Settings, error) {
	var s Settings
	raw, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("gateway: settings: %w", err)
	}
	if err := config.ReadSettings(file, raw, &s); err != nil {
		return s, fmt.Errorf("gateway: settings: %w", err)
	}
	if err := s.check(file); err != nil {
		return s, fmt.Errorf("gateway: settings: %w", err)
	}
	return s, nil
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
		host, _, err := net.SplitHostPort(f.value)
		if err != nil || net.ParseIP(host) == nil {
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
			report(f.name, "not above zero; write a time such as \"5s\"")
		}
	}
	if s.Bounds.RateExcessRatio < 0 || s.Bounds.RateSlackTokens < 0 {
		report("bounds.over", "below zero; write a part of the rate such as 0.1")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryAllowance < 0 {
		report("bounds.repeats", "below zero; write a part of the calls such as 0.2")
	}
	if len(e.Problems) > 0 {
		return e
	}
	return nil
}
