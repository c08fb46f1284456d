package router

import (
	"fmt"
	"strings"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"
)

// templateTokensPerMessage is an upper bound on the tokens that a model's chat
// template adds to a message.
const templateTokensPerMessage = 8

// body is a parsed model request. fields holds all fields, including those that
// the router does not interpret.
type body struct {
	chat         bool
	fields       map[string]json.RawMessage
	model        string
	messages     []answer.Message
	prompt       string
	maxTokens    int
	stream       bool
	includeUsage bool
}

// enginePriority is the priority sent to engines for every request, so that no
// caller can get ahead of other teams.
const enginePriority = 0

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func badRequestError(format string, args ...any) *refusal {
	return newRefusal(fasthttp.StatusBadRequest, "bad_request", fmt.Sprintf(format, args...))
}

// parseNoCopy lets parsed values alias the body that they were parsed from.
const parseNoCopy = json.DontCopyString | json.DontCopyRawMessage | json.DontCopyNumber

// parseBody parses and validates a model request. The result refers to raw.
func parseBody(raw []byte, chat bool) (*body, error) {
	b := &body{chat: chat}
	rest, err := json.Parse(raw, &b.fields, parseNoCopy)
	if err != nil || len(rest) > 0 || b.fields == nil {
		return nil, badRequestError("the body is no JSON object")
	}
	var options streamOptions
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &b.model}, {"messages", &b.messages}, {"prompt", &b.prompt},
		{"max_tokens", &b.maxTokens}, {"stream", &b.stream}, {"stream_options", &options},
	} {
		value, ok := b.fields[f.name]
		if !ok {
			continue
		}
		if _, err := json.Parse(value, f.into, parseNoCopy); err != nil {
			return nil, badRequestError("field %q is not of the right kind", f.name)
		}
	}
	b.includeUsage = options.IncludeUsage
	return b, b.validate()
}

func (b *body) validate() error {
	var choices int
	_ = json.Unmarshal(b.fields["n"], &choices)
	switch {
	case b.model == "":
		return badRequestError("field %q is missing", "model")
	case b.chat && len(b.messages) == 0:
		return badRequestError("field %q is missing", "messages")
	case !b.chat && b.prompt == "":
		return badRequestError("field %q is missing", "prompt")
	case b.maxTokens < 0:
		return badRequestError("field %q is below zero", "max_tokens")
	case choices > 1:
		return badRequestError("field %q: one answer a request", "n")
	default:
		return nil
	}
}

// promptParts returns the text of the prompt, one part per message.
func (b *body) promptParts() []string {
	if !b.chat {
		return []string{b.prompt}
	}
	parts := make([]string, len(b.messages))
	for i, m := range b.messages {
		parts[i] = m.Text()
	}
	return parts
}

// capMaxTokens limits max_tokens to the model's maximum, which is also the
// default.
func (b *body) capMaxTokens(m config.Model) {
	if b.maxTokens == 0 || b.maxTokens > m.MaxAnswerTokens {
		b.maxTokens = m.MaxAnswerTokens
	}
}

// tokenCost returns an upper bound on the tokens that the request can use.
func (b *body) tokenCost(m config.Model, p prefix.Prompt) float64 {
	return float64(p.Bytes())/m.MinBytesPerToken + float64(templateTokensPerMessage*(len(b.messages)+1)) + float64(b.maxTokens)
}

// cacheScope returns the scope within which the request's cached blocks may be
// shared.
func (b *body) cacheScope(m config.Model, team string) prefix.Scope {
	_, adapter, _ := strings.Cut(b.model, "/")
	return prefix.Scope{Model: m.Name, Adapter: adapter, Version: m.Version, Team: team}
}

// engineFields holds the values that differ between the encodings of one
// request that are sent to engines.
type engineFields struct {
	salt string
	// generated is the text that the answer continues from. It is
	// generatedTokens tokens long.
	generated       string
	generatedTokens int
}

// encode returns the JSON body to send to an engine.
func (b *body) encode(u engineFields) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(b.fields)+5)
	for name, value := range b.fields {
		fields[name] = value
	}
	set := func(name string, v any) {
		raw, err := json.Marshal(v)
		if err == nil {
			fields[name] = raw
		}
	}
	set("cache_salt", u.salt)
	set("priority", enginePriority)
	set("max_tokens", b.maxTokens-u.generatedTokens)
	if b.stream {
		set("stream_options", streamOptions{IncludeUsage: true})
	}
	if u.generatedTokens > 0 {
		b.setContinuation(set, u)
	}
	raw, err := json.Append(nil, fields, json.TrustRawMessage)
	if err != nil {
		return nil, fmt.Errorf("router: encode request: %w", err)
	}
	return raw, nil
}

// setContinuation makes the request continue from text that was already
// generated.
func (b *body) setContinuation(set func(string, any), u engineFields) {
	set("continue_final_message", true)
	set("add_generation_prompt", false)
	if !b.chat {
		set("prompt", b.prompt+u.generated)
		return
	}
	var messages []json.RawMessage
	_ = json.Unmarshal(b.fields["messages"], &messages)
	text, _ := json.Marshal(u.generated)
	last, _ := json.Marshal(answer.Message{Role: "assistant", Content: text})
	set("messages", append(messages, last))
}

// canContinue reports whether another engine can continue an answer from the
// text already sent. It cannot if the request uses continue_final_message
// itself.
func (b *body) canContinue() bool {
	_, present := b.fields["continue_final_message"]
	return !present
}
