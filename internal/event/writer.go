package event

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// maxQueuedLines bounds the log lines that wait to be written.
const maxQueuedLines = 2048

// errorField is the field in which the log package stores an error.
const errorField = "error"

// maxErrorBytes bounds the text of an error in a line.
const maxErrorBytes = 1 << 10

// Writer is a log handler that writes JSON lines without blocking its caller: if
// the queue is full, it drops the line and counts it.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	// reported counts the dropped lines that the field "dropped" of a later line
	// has reported.
	reported   atomic.Int64
	writerDone sync.WaitGroup
	closing    chan struct{}
	closeOnce  sync.Once
}

// NewWriter returns a Writer that writes to w until Close is called.
func NewWriter(w io.Writer) *Writer {
	lw := &Writer{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{})}
	lw.writerDone.Go(func() {
		out := bufio.NewWriter(w)
		for {
			select {
			case line := <-lw.lines:
				// There is nowhere to report a failure to write the log.
				_, _ = out.Write(line)
			case <-lw.closing:
				for {
					select {
					case line := <-lw.lines:
						_, _ = out.Write(line)
					default:
						_ = out.Flush()
						return
					}
				}
			}
			if len(lw.lines) == 0 {
				_ = out.Flush()
			}
		}
	})
	return lw
}

// cutText returns the first maxErrorBytes of a text, which may quote what another system
// sent.
func cutText(s string) string {
	if len(s) <= maxErrorBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxErrorBytes], "") + "..."
}

// HandleLog implements log.Handler.
func (w *Writer) HandleLog(e *log.Entry) error {
	fields := make(map[string]any, len(e.Fields)+3)
	for k, v := range e.Fields {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		if text, ok := v.(string); ok && k == errorField {
			v = cutText(text)
		}
		fields[k] = v
	}
	fields["time"], fields["level"], fields["message"] = e.Timestamp.Format(time.RFC3339Nano), e.Level.String(), e.Message
	if n := w.dropped.Load() - w.reported.Load(); n > 0 {
		fields["dropped"] = n
		w.reported.Add(n)
	}
	line, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	select {
	case w.lines <- append(line, '\n'):
	default:
		w.dropped.Add(1)
	}
	return nil
}

// Close writes the queued lines and stops the Writer.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	w.writerDone.Wait()
}
