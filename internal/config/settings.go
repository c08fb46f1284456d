package config

import (
	"net/netip"
	"strings"
)

// SettingsError lists the problems in the settings file of a process.
type SettingsError struct {
	File     string
	Problems []string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "\n"+e.File+": ")
}

// IsAddress reports whether s is an IP address with a port that a process can be reached at.
func IsAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}
