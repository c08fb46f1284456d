package answer

import (
	"fmt"
	"io"

	"github.com/segmentio/encoding/json"
	"github.com/tmaxmax/go-sse"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// Event is one decoded event of an engine's stream.
type Event struct {
	ID EventID
	// Data is the event's data as received, Chunk its decoded form.
	Data  string
	Chunk Chunk
	Done  bool
	// Err is set on the last event of a stream that was truncated, in which case
	// it wraps io.ErrUnexpectedEOF, or that failed to be read or decoded.
	Err error
}

// ReadEvents decodes a stream and hands its events to yield until the stream ends,
// yield returns false, or an event cannot be decoded. Unless yield returns false
// earlier, the last event has Done or Err set.
func ReadEvents(body io.Reader, yield func(Event) bool) {
	for raw, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			yield(Event{Err: fmt.Errorf("answer: stream: %w", err)})
			return
		}
		e := decode(raw)
		if !yield(e) || e.Done || e.Err != nil {
			return
		}
	}
	yield(Event{Err: fmt.Errorf("answer: stream: %w", io.ErrUnexpectedEOF)})
}

func decode(raw sse.Event) Event {
	if raw.Data == DoneMarker {
		return Event{Done: true}
	}
	id, err := ParseEventID(raw.LastEventID)
	if err != nil {
		return Event{Err: err}
	}
	e := Event{ID: id, Data: raw.Data}
	if err := json.Unmarshal([]byte(raw.Data), &e.Chunk); err != nil {
		e.Err = fmt.Errorf("answer: chunk: %w", err)
	}
	return e
}
