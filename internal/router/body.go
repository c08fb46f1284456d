package router

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"
)

// promptOverhead is what a model's chat template may add to a message, in
// tokens.
const promptOverhead = 8

// body is a model request: the fields the router reads, and all others as
// they came.
type body struct {
	chat     bool
	fields   map[string]json.RawMessage
	model    string
	messages []answer.Message
	prompt   string
	max      int
	stream   bool
	usage    bool
}

// samePriority is what engines are told for every request, so that no caller
// goes before other teams.
const samePriority = 0

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func badBody(format string, args ...any) *refusal {
	return refuse(fasthttp.StatusBadRequest, "bad_request", fmt.Sprintf(format, args...))
}

// shared lets parsed values refer to the body that they were read from.
const shared = json.DontCopyString | json.DontCopyRawMessage | json.DontCopyNumber

// parseBody reads a model request.
func parseBody(raw []byte, chat bool) (*body, error) {
	b := &body{chat: chat}
	rest, err := json.Parse(bytes.Clone(raw), &b.fields, shared)
	if err != nil || len(rest) > 0 || b.fields == nil {
		return nil, badBody("the body is no JSON object")
	}
	var options streamOptions
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &b.model}, {"messages", &b.messages}, {"prompt", &b.prompt},
		{"max_tokens", &b.max}, {"stream", &b.stream}, {"stream_options", &options},
	} {
		value, ok := b.fields[f.name]
		if !ok {
			continue
		}
		if _, err := json.Parse(value, f.into, shared); err != nil {
			return nil, badBody("field %q is not of the right kind", f.name)
		}
	}
	b.usage = options.IncludeUsage
	return b, b.check()
}

func (b *body) check() error {
	var several int
	_ = json.Unmarshal(b.fields["n"], &several)
	switch {
	case b.model == "":
		return badBody("field %q is missing", "model")
	case b.chat && len(b.messages) == 0:
		return badBody("field %q is missing", "messages")
	case !b.chat && b.prompt == "":
		return badBody("field %q is missing", "prompt")
	case b.max < 0:
		return badBody("field %q is below zero", "max_tokens")
	case several > 1:
		return badBody("field %q: one answer a request", "n")
	default:
		return nil
	}
}

// parts returns the prompt's text, one part for each message.
func (b *body) parts() []string {
	if !b.chat {
		return []string{b.prompt}
	}
	parts := make([]string, len(b.messages))
	for i, m := range b.messages {
		parts[i] = m.Text()
	}
	return parts
}

// bound fixes the most tokens that the answer may have.
func (b *body) bound(m config.Model) {
	if b.max == 0 || b.max > m.MaxAnswerTokens {
		b.max = m.MaxAnswerTokens
	}
}

// charge returns the most tokens that the request can use.
func (b *body) charge(m config.Model, p prefix.Prompt) float64 {
	return float64(p.Bytes())/m.MinBytesPerToken + float64(promptOverhead*(len(b.messages)+1)) + float64(b.max)
}

// scopeOf returns what the request's cached blocks may be shared within.
func (b *body) scopeOf(m config.Model, team string) prefix.Scope {
	_, adapter, _ := strings.Cut(b.model, "/")
	return prefix.Scope{Model: m.Name, Adapter: adapter, Version: m.Version, Team: team}
}

// upstream is what differs between the forms of one request that engines see.
type upstream struct {
	salt string
	// sent is the generated text that the answer goes on from, of count
	// tokens.
	sent  string
	count int
}

// encode returns the request as an engine sees it.
func (b *body) encode(u upstream) ([]byte, error) {
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
	set("priority", samePriority)
	set("max_tokens", b.max-u.count)
	if b.stream {
		set("stream_options", streamOptions{IncludeUsage: true})
	}
	if u.count > 0 {
		b.goOn(set, u)
	}
	raw, err := json.Append(nil, fields, json.TrustRawMessage)
	if err != nil {
		return nil, fmt.Errorf("router: encode request: %w", err)
	}
	return raw, nil
}

// goOn makes the request continue from text that was already sent.
func (b *body) goOn(set func(string, any), u upstream) {
	set("continue_final_message", true)
	set("add_generation_prompt", false)
	if !b.chat {
		set("prompt", b.prompt+u.sent)
		return
	}
	var messages []json.RawMessage
	_ = json.Unmarshal(b.fields["messages"], &messages)
	text, _ := json.Marshal(u.sent)
	last, _ := json.Marshal(answer.Message{Role: "assistant", Content: text})
	set("messages", append(messages, last))
}

// continuable reports whether another engine can go on from sent text.
func (b *body) continuable() bool {
	_, own := b.fields["continue_final_message"]
	return !own
}
