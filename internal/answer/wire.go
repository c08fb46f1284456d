package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"
)

// Headers between callers, the router and backend servers.
const (
	// HeaderRequestID carries the request's id, to callers and to engines.
	HeaderRequestID = "Marjoramrock-Request"
	// HeaderRunStatus tells callers whether a request without an answer ran.
	HeaderRunStatus = "Marjoramrock-Run"
	// HeaderIdempotencyKey names a call that must not repeat.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResumeIndex asks an engine for a stream from a chunk on.
	HeaderResumeIndex = "Marjoramrock-Resume"
	// HeaderIncarnation, HeaderVersion and HeaderLoad are an engine's word
	// of itself.
	HeaderIncarnation    = "Marjoramrock-Incarnation"
	HeaderWeightsVersion = "Marjoramrock-Version"
	HeaderLoad           = "Marjoramrock-Load"
)

// DoneMarker is the data of a stream's last event.
const DoneMarker = "[DONE]"

// RunStatus tells whether a request without a whole answer ran.
type RunStatus string

// The values of Run.
const (
	RunStatusNotRun  RunStatus = "no"
	RunStatusUnknown RunStatus = "unknown"
)

// Error is the error body of the API.
type Error struct {
	Type    string    `json:"type"`
	Message string    `json:"message"`
	Run     RunStatus `json:"run"`
}

// ErrorBody wraps an Error for the wire.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content,omitempty"`
}

// Text returns the content as text, with the text parts of a list joined and
// other parts as their JSON.
func (m Message) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how much of a prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of a stream, or a whole answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Content `json:"delta,omitempty"`
	Message      *Content `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content is generated text.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Text returns the text of the first choice.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	first := c.Choices[0]
	switch {
	case first.Delta != nil:
		return first.Delta.Content
	case first.Message != nil:
		return first.Message.Content
	default:
		return first.Text
	}
}

// Finished reports whether the chunk ends the generated text.
func (c Chunk) Finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// EventID is the id of a stream's event: its request and its place.
type EventID struct {
	RequestID string
	Index     int
}

// String returns the form on the wire.
func (e EventID) String() string { return e.RequestID + ":" + strconv.Itoa(e.Index) }

// ParseEventID reads the form on the wire.
func ParseEventID(text string) (EventID, error) {
	cut := strings.LastIndexByte(text, ':')
	if cut < 0 {
		return EventID{}, fmt.Errorf("answer: event id %q has no index", text)
	}
	n, err := strconv.Atoi(text[cut+1:])
	if err != nil || n < 0 {
		return EventID{}, fmt.Errorf("answer: event id %q has no index", text)
	}
	return EventID{RequestID: text[:cut], Index: n}, nil
}
