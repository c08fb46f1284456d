package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 256 << 10
	// eventBufferBytes is large enough for several events.
	eventBufferBytes = 8 << 10
)

// streamEvent is an event of a stream as it was received.
type streamEvent struct {
	// raw is valid until the next event is read.
	raw []byte
	id  string
	// hasData is unset for an event that consists of comments or an ID only.
	hasData bool
}

// eventReader splits a stream into its events.
type eventReader struct {
	stream  *bufio.Reader
	current buffer
	// begun is set once the first line has been read.
	begun bool
}

// byteOrderMark may precede the first event of a stream.
var byteOrderMark = []byte("\ufeff")

func newEventReader(stream io.Reader, budget *bufferBudget) *eventReader {
	return &eventReader{stream: bufio.NewReaderSize(stream, eventBufferBytes), current: buffer{budget: budget, limit: maxEventBytes}}
}

func (r *eventReader) release() { r.current.release() }

// next reads up to and including the empty line that ends an event. At the end of the
// stream it returns io.EOF, or io.ErrUnexpectedEOF after an incomplete event, together
// with what was read.
func (r *eventReader) next() (streamEvent, error) {
	r.current.reset()
	var e streamEvent
	lineStart := 0
	for {
		piece, err := r.stream.ReadSlice('\n')
		if appendErr := r.current.append(piece); appendErr != nil {
			return e, appendErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.current.bytes)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			e.raw = r.current.bytes
			return e, err
		}
		line := bytes.TrimRight(r.current.bytes[lineStart:], "\r\n")
		if !r.begun {
			line, r.begun = bytes.TrimPrefix(line, byteOrderMark), true
		}
		lineStart = len(r.current.bytes)
		if len(line) == 0 {
			e.raw = r.current.bytes
			return e, nil
		}
		e.addLine(line)
	}
}

func (e *streamEvent) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.id = string(bytes.TrimSpace(value))
	case "data":
		e.hasData = true
	}
}

// isNewerEvent reports whether an event follows the one with the last ID. IDs are
// numbers; events with other IDs always count as newer.
func isNewerEvent(id, lastID string) bool {
	if lastID == "" {
		return true
	}
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return true
	}
	return a > b
}
