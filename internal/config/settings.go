package config

import "strings"

// SettingsError lists what is wrong with a process's settings.
type SettingsError struct {
	File     string
	Problems []string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "\n"+e.File+": ")
}
