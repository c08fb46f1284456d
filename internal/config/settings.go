package config

import "strings"

// SettingsError lists the problems in the settings file of a process.
type SettingsError struct {
	File     string
	Problems []string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "\n"+e.File+": ")
}
