// Package procstat reads the memory and descriptors of processes from /proc.
package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakResidentBytes returns the largest resident memory that a process has had.
func PeakResidentBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("procstat: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			if err != nil {
				return 0, fmt.Errorf("procstat: VmHWM: %w", err)
			}
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("procstat: process %d has no VmHWM: it has ended", pid)
}

// OpenDescriptors returns the number of open descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("procstat: %w", err)
	}
	return len(entries), nil
}
