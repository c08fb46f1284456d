package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	started time.Time

	mu   sync.Mutex // guards the field below
	file *os.File
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{started: time.Now(), file: f}, err
}

// add writes a line with the seconds since the start of the script.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.file, line) // The verdict does not depend on the record.
}

func writeJSON(w io.Writer, v any) {
	_ = json.NewEncoder(w).Encode(v) // A caller that has left needs no response.
}
