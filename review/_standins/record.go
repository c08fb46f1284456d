package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	start time.Time

	mu   sync.Mutex // guards the field below
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{start: time.Now(), file: f}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the time of an event on the clock of the record, in seconds.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) close() { _ = r.file.Close() }
