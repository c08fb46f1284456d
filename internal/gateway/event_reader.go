package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
)

const (
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 256 << 10
	// eventBufferBytes is large enough for several events.
	eventBufferBytes = 8 << 10
	// maxPeekedEvents and maxPeekedBytes bound the events without data that are kept while
	// the first one with data is awaited, and the size of each. Others, which are comments
	// as a rule, are dropped.
	maxPeekedEvents = 16
	maxPeekedBytes  = 512
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
	current *buffer.Buffer
	// begun is set once the first line has been read.
	begun bool
	// peeked holds what the next calls of next return, instead of reading on.
	peeked []readEvent
}

// readEvent is a result of eventReader.next.
type readEvent struct {
	event streamEvent
	err   error
}

// byteOrderMark may precede the first event of a stream.
var byteOrderMark = []byte("\ufeff")

func newEventReader(stream io.Reader, budget *buffer.Budget) *eventReader {
	return &eventReader{stream: bufio.NewReaderSize(stream, eventBufferBytes), current: buffer.New(budget, maxEventBytes)}
}

// errNoEvent means that a stream contains something else than events.
var errNoEvent = errors.New("stream contains a line that is no field of an event")

func (r *eventReader) release() { r.current.Release() }

// peek reads up to the first event with data that follows the one with the last ID, and
// returns the error that ends the stream before. The next calls of next return the event
// or error, and before it what else has to be passed on.
func (r *eventReader) peek(lastID string) error {
	var others []readEvent
	for {
		e, err := r.read()
		if err != nil || e.hasData && e.follows(lastID) {
			r.peeked = append(others, readEvent{event: e, err: err})
			return err
		}
		if !e.hasData && e.follows(lastID) && len(others) < maxPeekedEvents && len(e.raw) <= maxPeekedBytes {
			e.raw = bytes.Clone(e.raw)
			others = append(others, readEvent{event: e})
		}
	}
}

// next reads up to and including the empty line that ends an event. At the end of the
// stream it returns io.EOF, or io.ErrUnexpectedEOF after an incomplete event, together
// with what was read. It returns errNoEvent if a line is neither a field nor a comment.
func (r *eventReader) next() (streamEvent, error) {
	if len(r.peeked) > 0 {
		first := r.peeked[0]
		r.peeked = r.peeked[1:]
		return first.event, first.err
	}
	return r.read()
}

func (r *eventReader) read() (streamEvent, error) {
	r.current.Reset()
	var e streamEvent
	lineStart := 0
	for {
		piece, err := r.stream.ReadSlice('\n')
		if appendErr := r.current.Append(piece); appendErr != nil {
			return e, appendErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.current.Bytes())) > 0 {
				err = io.ErrUnexpectedEOF
			}
			e.raw = r.current.Bytes()
			return e, err
		}
		line := bytes.TrimRight(r.current.Bytes()[lineStart:], "\r\n")
		if !r.begun {
			line, r.begun = bytes.TrimPrefix(line, byteOrderMark), true
		}
		lineStart = len(r.current.Bytes())
		if len(line) == 0 {
			e.raw = r.current.Bytes()
			return e, nil
		}
		if !isField(line) {
			return e, errNoEvent
		}
		e.addLine(line)
	}
}

// isField reports whether a line has the form of a field or comment. Responses and error
// texts that follow a stream on its connection do not.
func isField(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		switch string(name) {
		case "data", "event", "id", "retry":
			return true
		}
		return false
	}
	for _, c := range name {
		if !isFieldNameByte(c) {
			return false
		}
	}
	return true
}

func isFieldNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
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

// follows reports whether the event is not a repetition of one up to that with the last ID.
func (e *streamEvent) follows(lastID string) bool { return e.id == "" || isNewerEvent(e.id, lastID) }

// isNewerEvent reports whether an event follows the one with the last ID. IDs are
// numbers; events with other IDs count as newer unless they repeat the last one.
func isNewerEvent(id, lastID string) bool {
	if lastID == "" {
		return true
	}
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id != lastID
	}
	b, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return true
	}
	return a > b
}
