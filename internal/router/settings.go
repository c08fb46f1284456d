package router

import (
	"fmt"
	"os"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// Settings configure a router process.
type Settings struct {
	// VM and Zone are this VM's name and availability zone.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// EntryAddress is the listen address for callers, PeerAddress for other
	// routers and StatusAddress for operators.
	EntryAddress  string `json:"entry"`
	PeerAddress   string `json:"peer"`
	StatusAddress string `json:"status"`
	// Platform configures access to the platform's services.
	Platform platform.Settings `json:"platform"`
	// TLS names the certificate files of the peer protocol.
	TLS peer.CertFiles `json:"tls"`
	// Seeds are the addresses of peers to ask for the configuration before the
	// first list of VMs has been read.
	Seeds []string `json:"seeds,omitempty"`
	// Credentials are the credentials that the router sends to backend servers,
	// by server name.
	Credentials []Credential `json:"credentials,omitempty"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"log,omitempty"`
	// PlacementPolicy is the name of the placement policy. The empty name is
	// the default.
	PlacementPolicy string `json:"placement,omitempty"`
	// DrainDelay is how long the router keeps accepting requests after Shutdown
	// was called, so that the load balancer notices that it is not ready.
	// AbsenceTimeout is how long the platform's list of VMs may lag.
	DrainDelay     config.Duration `json:"drain,omitempty"`
	AbsenceTimeout config.Duration `json:"confirm,omitempty"`
	// Limits bound what callers may use.
	Limits Limits `json:"limits,omitzero"`
	// AllowFaults enables fault injection on the status address. It is meant
	// for tests.
	AllowFaults bool `json:"faults,omitempty"`
}

// Credential is the credential that the router sends to one backend server.
type Credential struct {
	Backend string `json:"backend"`
	Secret  string `json:"secret"`
}

// DefaultDrainDelay is the DrainDelay of settings that set none.
const DefaultDrainDelay = 2 * time.Second

// LoadSettings reads and validates a settings file. It reports all problems at
// once, as a config.SettingsError.
func LoadSettings(file string) (Settings, error) {
	var s Settings
	raw, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("router: settings: %w", err)
	}
	if err := config.ReadSettings(file, raw, &s); err != nil {
		return s, fmt.Errorf("router: settings: %w", err)
	}
	if err := s.validate(file); err != nil {
		return s, fmt.Errorf("router: settings: %w", err)
	}
	return s, nil
}

func (s Settings) validate(file string) error {
	e := &config.SettingsError{File: file}
	report := func(field, text string) { e.Problems = append(e.Problems, field+": "+text) }
	for _, f := range []struct{ name, value string }{
		{"vm", s.VM}, {"zone", s.Zone}, {"platform.tables", s.Platform.TablesURL},
		{"platform.objects", s.Platform.ObjectsURL}, {"platform.vms", s.Platform.VMsURL},
		{"platform.table", s.Platform.Table}, {"platform.bucket", s.Platform.Bucket},
		{"tls.cert", s.TLS.Cert}, {"tls.key", s.TLS.Key}, {"tls.ca", s.TLS.CA},
	} {
		if f.value == "" {
			report(f.name, "must not be empty")
		}
	}
	for _, f := range []struct{ name, value string }{{"entry", s.EntryAddress}, {"peer", s.PeerAddress}, {"status", s.StatusAddress}} {
		if !config.IsAddress(f.value) {
			report(f.name, fmt.Sprintf("%q is not an address of the form IP:PORT", f.value))
		}
	}
	if _, err := newPlacementPolicy(s.PlacementPolicy); err != nil {
		report("placement", err.Error())
	}
	s.Limits.validate(report)
	if len(e.Problems) > 0 {
		return e
	}
	return nil
}
