package router

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// Settings are what one router process is told at its start.
type Settings struct {
	// VM and Zone are this VM's name and availability zone.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// EntryAddress is the callers' address, Peer the routers', Status the operators'.
	EntryAddress  string `json:"entry"`
	PeerAddress   string `json:"peer"`
	StatusAddress string `json:"status"`
	// Platform says where the platform's services are.
	Platform platform.Settings `json:"platform"`
	// TLS names the certificates of the inner protocol.
	TLS peer.CertFiles `json:"tls"`
	// Seeds are peers to ask for the configuration before any list is read.
	Seeds []string `json:"seeds,omitempty"`
	// Credentials are what this system shows to backend servers, by name.
	Credentials []Credential `json:"credentials,omitempty"`
	// LogLevel is the lowest level logged.
	LogLevel string `json:"log,omitempty"`
	// PlacementPolicy names the placement policy; empty stands for the default.
	PlacementPolicy string `json:"placement,omitempty"`
	// DrainDelay is how long a leaving router still accepts, so that the balancer
	// notices; Confirm is how long the platform's list may lag.
	DrainDelay     config.Duration `json:"drain,omitempty"`
	AbsenceTimeout config.Duration `json:"confirm,omitempty"`
	// AllowFaults allows the fault switches on the status address; for tests.
	AllowFaults bool `json:"faults,omitempty"`
}

// Credential is what the system shows to one backend server.
type Credential struct {
	Backend string `json:"backend"`
	Secret  string `json:"secret"`
}

// DefaultDrainDelay is how long a leaving router still accepts.
const DefaultDrainDelay = 2 * time.Second

// LoadSettings reads and checks a settings file. ProblemsError are reported all at
// once, as config.ProblemsError.
func LoadSettings(file string) (Settings, error) {
	var s Settings
	raw, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("router: settings: %w", err)
	}
	if err := config.ReadSettings(file, raw, &s); err != nil {
		return s, fmt.Errorf("router: settings: %w", err)
	}
	if err := s.check(file); err != nil {
		return s, fmt.Errorf("router: settings: %w", err)
	}
	return s, nil
}

func (s Settings) check(file string) error {
	e := &config.SettingsError{File: file}
	report := func(field, text string) { e.Problems = append(e.Problems, field+": "+text) }
	for _, f := range []struct{ name, value string }{
		{"vm", s.VM}, {"zone", s.Zone}, {"platform.tables", s.Platform.Tables},
		{"platform.objects", s.Platform.Objects}, {"platform.vms", s.Platform.VMs},
		{"platform.table", s.Platform.Table}, {"platform.bucket", s.Platform.Bucket},
		{"tls.cert", s.TLS.Cert}, {"tls.key", s.TLS.Key}, {"tls.ca", s.TLS.CA},
	} {
		if f.value == "" {
			report(f.name, "empty; give it a value")
		}
	}
	for _, f := range []struct{ name, value string }{{"entry", s.EntryAddress}, {"peer", s.PeerAddress}, {"status", s.StatusAddress}} {
		host, _, err := net.SplitHostPort(f.value)
		if err != nil || net.ParseIP(host) == nil {
			report(f.name, fmt.Sprintf("%q is no address; write IP:PORT", f.value))
		}
	}
	if _, err := newPolicy(s.PlacementPolicy); err != nil {
		report("placement", err.Error())
	}
	if len(e.Problems) > 0 {
		return e
	}
	return nil
}
