package event

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// queued bounds the lines that wait to be written.
const queued = 2048

// Writer is a log handler that writes JSON lines without ever making its
// caller wait: a line that finds the queue full is counted and dropped.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	told    atomic.Int64
	done    sync.WaitGroup
	closing chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to w. Close writes what is queued.
func NewWriter(w io.Writer) *Writer {
	a := &Writer{lines: make(chan []byte, queued), closing: make(chan struct{})}
	a.done.Go(func() {
		out := bufio.NewWriter(w)
		for {
			select {
			case line := <-a.lines:
				// A line that cannot be written has nowhere else to go.
				_, _ = out.Write(line)
			case <-a.closing:
				for {
					select {
					case line := <-a.lines:
						_, _ = out.Write(line)
					default:
						_ = out.Flush()
						return
					}
				}
			}
			if len(a.lines) == 0 {
				_ = out.Flush()
			}
		}
	})
	return a
}

// HandleLog implements log.Handler.
func (a *Writer) HandleLog(e *log.Entry) error {
	fields := make(map[string]any, len(e.Fields)+3)
	for k, v := range e.Fields {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		fields[k] = v
	}
	fields["time"], fields["level"], fields["message"] = e.Timestamp.Format(time.RFC3339Nano), e.Level.String(), e.Message
	if n := a.dropped.Load() - a.told.Load(); n > 0 {
		fields["dropped"] = n
		a.told.Add(n)
	}
	line, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	select {
	case a.lines <- append(line, '\n'):
	default:
		a.dropped.Add(1)
	}
	return nil
}

// Close writes the lines that wait and ends the Writer.
func (a *Writer) Close() {
	a.once.Do(func() { close(a.closing) })
	a.done.Wait()
}
