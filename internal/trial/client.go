package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
)

// ModelRequest is a chat completion request of a caller.
type ModelRequest struct {
	Model string
	// Messages are the messages of the chat. The first are the most widely shared
	// parts of the prompt.
	Messages     []string
	MaxTokens    int
	NonStreaming bool
}

// Reply is what a caller received for a request.
type Reply struct {
	Status    int
	RequestID string
	Text      string
	Usage     *answer.Usage
	// Done is whether a stream ended with its final event, or the body of an answer
	// that is not streamed was complete.
	Done bool
	// Error is the router's error, from the body or from an event of the stream.
	Error *answer.Error
	// FirstTextAt is when the first text arrived. EndedAt is when the answer ended.
	FirstTextAt time.Time
	EndedAt     time.Time
	// RetryAfter is the Retry-After header, in whole seconds.
	RetryAfter string
}

// OK reports whether the reply is a complete answer without an error.
func (r Reply) OK() bool { return r.Status == http.StatusOK && r.Error == nil && r.Done }

// Errors in the events of a stream.
var (
	ErrOutOfOrder   = errors.New("trial: an event is out of order")
	ErrWrongRequest = errors.New("trial: an event of another request")
)

type chatRequest struct {
	Model         string           `json:"model"`
	Messages      []answer.Message `json:"messages"`
	MaxTokens     int              `json:"max_tokens"`
	Stream        bool             `json:"stream"`
	StreamOptions *streamOptions   `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// SendModelRequest sends a request to a router's entry address and reads the
// complete answer.
func SendModelRequest(ctx context.Context, client *http.Client, address, key string, a ModelRequest) (Reply, error) {
	var reply Reply
	body := chatRequest{Model: a.Model, MaxTokens: a.MaxTokens, Stream: !a.NonStreaming}
	if body.Stream {
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	for _, part := range a.Messages {
		text, err := json.Marshal(part)
		if err != nil {
			return reply, fmt.Errorf("trial: encode request: %w", err)
		}
		body.Messages = append(body.Messages, answer.Message{Role: "user", Content: text})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return reply, fmt.Errorf("trial: encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(raw))
	if err != nil {
		return reply, fmt.Errorf("trial: create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply, fmt.Errorf("trial: send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return reply, reply.read(resp, a)
}

func (r *Reply) read(resp *http.Response, a ModelRequest) error {
	defer func() { r.EndedAt = time.Now() }()
	r.Status = resp.StatusCode
	r.RequestID = resp.Header.Get(answer.HeaderRequestID)
	r.RetryAfter = resp.Header.Get("Retry-After")
	if resp.StatusCode == http.StatusOK && !a.NonStreaming {
		return r.readStream(resp.Body)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("trial: read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return r.readError(raw)
	}
	var chunk answer.Chunk
	if err := json.Unmarshal(raw, &chunk); err != nil {
		return fmt.Errorf("trial: decode response: %w", err)
	}
	r.FirstTextAt, r.Text, r.Usage, r.Done = time.Now(), chunk.Text(), chunk.Usage, chunk.Finished()
	return nil
}

// readError decodes an error body into r.Error.
func (r *Reply) readError(raw []byte) error {
	var body answer.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return fmt.Errorf("trial: decode error response: %w", err)
	}
	r.Error = &body.Error
	return nil
}

// readStream reads the events of a stream and checks their request and order.
func (r *Reply) readStream(body io.Reader) error {
	var text strings.Builder
	next := 0
	var failure error
	answer.ReadEvents(body, func(e answer.Event) bool {
		switch {
		case e.Done:
			r.Done = true
		case e.Chunk.ID == "" && e.Err == nil:
			failure = r.readError([]byte(e.Data))
		case e.Err != nil:
			failure = e.Err
		case e.ID.RequestID != r.RequestID:
			failure = ErrWrongRequest
		case e.ID.Index != next:
			failure = ErrOutOfOrder
		}
		if failure != nil || r.Error != nil || r.Done {
			return false
		}
		next++
		if next == 1 {
			r.FirstTextAt = time.Now()
		}
		text.WriteString(e.Chunk.Text())
		if e.Chunk.Usage != nil {
			r.Usage = e.Chunk.Usage
		}
		return true
	})
	r.Text = text.String()
	return failure
}
