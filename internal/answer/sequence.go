package answer

import "strings"

// EventStatus is what to do with an event of a stream.
type EventStatus uint8

// The verdicts.
const (
	// EventNext: the event is the next one.
	EventNext EventStatus = iota + 1
	// EventDuplicate: the event was passed before.
	EventDuplicate
	// EventMismatched: the event belongs to another request.
	EventMismatched
	// EventGap: events before this one are missing.
	EventGap
)

// StreamTracker holds a stream's events to their request and place. Indexes count
// from zero in each source; a source is one engine's generation of the answer.
type StreamTracker struct {
	request string
	// next is the index that the current source must send next.
	next int
	// sent counts the events passed from all sources.
	sent int
	// text is what was passed; tokens counts the events that carried it.
	text     strings.Builder
	tokens   int
	finished bool
}

// NewStreamTracker returns the sequence of a request's first source.
func NewStreamTracker(request string) *StreamTracker { return &StreamTracker{request: request} }

// Check decides on an event without taking it in.
func (s *StreamTracker) Check(id EventID) EventStatus {
	switch {
	case id.RequestID != s.request:
		return EventMismatched
	case id.Index < s.next:
		return EventDuplicate
	case id.Index > s.next:
		return EventGap
	default:
		return EventNext
	}
}

// Accept takes in an event that passed.
func (s *StreamTracker) Accept(c Chunk) {
	s.next++
	s.sent++
	if text := c.Text(); text != "" {
		s.text.WriteString(text)
		s.tokens++
	}
	s.finished = s.finished || c.Finished()
}

// ResetIndex begins a new source that goes on from the text passed so far.
func (s *StreamTracker) ResetIndex() { s.next = 0 }

// NextIndex returns the index that the current source must send next.
func (s *StreamTracker) NextIndex() int { return s.next }

// AcceptedEvents returns the number of events passed.
func (s *StreamTracker) AcceptedEvents() int { return s.sent }

// Text returns the text passed so far, and the number of its tokens.
func (s *StreamTracker) Text() (text string, tokens int) { return s.text.String(), s.tokens }

// Finished reports whether the generated text is whole.
func (s *StreamTracker) Finished() bool { return s.finished }
