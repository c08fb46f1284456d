package answer

import "strings"

// EventStatus tells how an event relates to the events accepted before it.
type EventStatus uint8

// The values of EventStatus.
const (
	// EventNext means that the event is the next one of the stream.
	EventNext EventStatus = iota + 1
	// EventDuplicate means that an event with this index was accepted before.
	EventDuplicate
	// EventMismatched means that the event belongs to another request.
	EventMismatched
	// EventGap means that events before this one are missing.
	EventGap
)

// StreamTracker checks the order of the events of an answer and collects its text.
// An answer may come from several sources in turn, each one engine's stream;
// event indexes start at zero in each source.
type StreamTracker struct {
	requestID string
	// nextIndex is the index of the next event expected from the current source.
	nextIndex int
	// accepted counts the accepted events of all sources.
	accepted int
	// text is the accepted text; tokens counts the events that carried it.
	text     strings.Builder
	tokens   int
	finished bool
}

// NewStreamTracker returns a tracker that has accepted no events.
func NewStreamTracker(requestID string) *StreamTracker { return &StreamTracker{requestID: requestID} }

// Check returns the status of an event without accepting it.
func (s *StreamTracker) Check(id EventID) EventStatus {
	switch {
	case id.RequestID != s.requestID:
		return EventMismatched
	case id.Index < s.nextIndex:
		return EventDuplicate
	case id.Index > s.nextIndex:
		return EventGap
	default:
		return EventNext
	}
}

// Accept records an event for which Check returned EventNext.
func (s *StreamTracker) Accept(c Chunk) {
	s.nextIndex++
	s.accepted++
	if text := c.Text(); text != "" {
		s.text.WriteString(text)
		s.tokens++
	}
	s.finished = s.finished || c.Finished()
}

// ResetIndex starts a new source, whose indexes start at zero and which continues
// the accepted text.
func (s *StreamTracker) ResetIndex() { s.nextIndex = 0 }

// NextIndex returns the index of the next event expected from the current source.
func (s *StreamTracker) NextIndex() int { return s.nextIndex }

// AcceptedEvents returns the number of accepted events of all sources.
func (s *StreamTracker) AcceptedEvents() int { return s.accepted }

// Text returns the accepted text and its number of tokens; each event with text
// counts as one token.
func (s *StreamTracker) Text() (text string, tokens int) { return s.text.String(), s.tokens }

// Finished reports whether an accepted event had a finish reason.
func (s *StreamTracker) Finished() bool { return s.finished }
