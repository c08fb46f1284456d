package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"
)

// Headers of the requests and responses between callers, the router and backend
// servers.
const (
	// HeaderRequestID carries the id of the request, to callers and to backend servers.
	HeaderRequestID = "Marjoramrock-Request"
	// HeaderRunStatus tells callers whether a failed request may have run.
	HeaderRunStatus = "Marjoramrock-Run"
	// HeaderIdempotencyKey identifies a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResumeIndex asks an engine to resume a stream at the event with
	// this index.
	HeaderResumeIndex = "Marjoramrock-Resume"
	// HeaderIncarnation, HeaderWeightsVersion and HeaderLoad carry an engine's
	// incarnation id, the version of its model weights and its load.
	HeaderIncarnation    = "Marjoramrock-Incarnation"
	HeaderWeightsVersion = "Marjoramrock-Version"
	HeaderLoad           = "Marjoramrock-Load"
)

// DoneMarker is the data of the last event of a complete stream.
const DoneMarker = "[DONE]"

// RunStatus tells whether a request without a complete answer ran.
type RunStatus string

// The values of RunStatus.
const (
	RunStatusNotRun  RunStatus = "no"
	RunStatusUnknown RunStatus = "unknown"
)

// Error describes a failed request to the caller.
type Error struct {
	Type    string    `json:"type"`
	Message string    `json:"message"`
	Run     RunStatus `json:"run"`
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content,omitempty"`
}

// Text returns the content if it is a JSON string, and its raw JSON otherwise.
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

// PromptDetails counts the prompt tokens that were found in the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is the data of one event of a stream, or a complete answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one of the alternative completions of an answer.
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

// Text returns the text of the first choice, or "" if there is none.
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

// Finished reports whether the first choice has a finish reason.
func (c Chunk) Finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// EventID is the id of an event in a stream: its request and its index.
type EventID struct {
	RequestID string
	Index     int
}

// String returns the encoded id, as in "request:7".
func (e EventID) String() string { return e.RequestID + ":" + strconv.Itoa(e.Index) }

// ParseEventID parses an id encoded by String.
func ParseEventID(text string) (EventID, error) {
	sep := strings.LastIndexByte(text, ':')
	if sep < 0 {
		return EventID{}, fmt.Errorf("answer: event id %q has no index", text)
	}
	n, err := strconv.Atoi(text[sep+1:])
	if err != nil || n < 0 {
		return EventID{}, fmt.Errorf("answer: event id %q has an invalid index", text)
	}
	return EventID{RequestID: text[:sep], Index: n}, nil
}
