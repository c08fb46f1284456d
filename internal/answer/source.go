package answer

import (
	"fmt"
	"io"

	"github.com/segmentio/encoding/json"
	"github.com/tmaxmax/go-sse"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Event is one decoded event of an engine's stream.
type Event struct {
	ID EventID
	// Data is the event as it came; Chunk is its content.
	Data  string
	Chunk Chunk
	Done  bool
	// Err ends the stream: io.ErrUnexpectedEOF, or why it does not parse.
	Err error
}

// ReadEvents decodes a stream and hands its events to yield until the stream ends,
// yield returns false, or an event does not parse. The last event has Done or
// Err set.
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
