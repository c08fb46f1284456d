package router

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
)

func TestParseBody(t *testing.T) {
	tests := []struct {
		give    string
		raw     string
		chat    bool
		wantErr string
	}{
		{give: "chat", raw: `{"model":"m","messages":[{"role":"user","content":"x"}]}`, chat: true},
		{give: "completion", raw: `{"model":"m","prompt":"x"}`},
		{give: "no object", raw: `[]`, wantErr: "no JSON object"},
		{give: "null", raw: `null`, wantErr: "no JSON object"},
		{give: "no model", raw: `{"prompt":"x"}`, wantErr: `"model" is missing`},
		{give: "no messages", raw: `{"model":"m","prompt":"x"}`, chat: true, wantErr: `"messages" is missing`},
		{give: "no prompt", raw: `{"model":"m"}`, wantErr: `"prompt" is missing`},
		{give: "below zero", raw: `{"model":"m","prompt":"x","max_tokens":-1}`, wantErr: "below zero"},
		{give: "several answers", raw: `{"model":"m","prompt":"x","n":2}`, wantErr: "one answer"},
		{give: "wrong kind", raw: `{"model":"m","prompt":"x","stream":"yes"}`, wantErr: `"stream" is not`},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			_, err := parseBody([]byte(tt.raw), tt.chat)
			if tt.wantErr == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.wantErr)
		})
	}
}

func TestEncodePreservesUnknownFields(t *testing.T) {
	b, err := parseBody([]byte(`{"model":"m","messages":[{"role":"user","content":"x","name":"n"}],"seed":7,"cache_salt":"mine","priority":-9}`), true)
	require.NoError(t, err)
	b.capMaxTokens(config.Model{MaxAnswerTokens: 10})
	raw, err := b.encode(engineFields{salt: "ours", generated: "so far", generatedTokens: 4})
	require.NoError(t, err)
	var got struct {
		Seed     int              `json:"seed"`
		Salt     string           `json:"cache_salt"`
		Max      int              `json:"max_tokens"`
		Priority int              `json:"priority"`
		Continue bool             `json:"continue_final_message"`
		Messages []map[string]any `json:"messages"`
	}
	require.NoError(t, json.Unmarshal(raw, &got))
	require.Equal(t, 7, got.Seed)
	require.Equal(t, "ours", got.Salt, "cache_salt must not come from the caller")
	require.Zero(t, got.Priority, "priority must not come from the caller")
	require.Equal(t, 6, got.Max)
	require.True(t, got.Continue)
	require.Len(t, got.Messages, 2)
	require.Equal(t, "n", got.Messages[0]["name"])
	require.Equal(t, "so far", got.Messages[1]["content"])
}

// FuzzParseBody checks that parseBody accepts no body that encoding/json
// rejects, and that no accepted body can override the fields that the router
// sets.
func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m/a","prompt":"x","stream":true}`), false)
	f.Add([]byte(`{"model":"m","prompt":"x","cache_salt":"t","cache\u005fsalt":"t"}`+"\n "), false)
	f.Add([]byte(`{"model":"m","prompt":"x","a":tru,"cache_salt":"t"}`), false)
	f.Add([]byte(`{"model":"m","prompt":"x","a":[1]],"cache_salt":"t"}`), false)
	f.Add([]byte(`{"model":"m","prompt":"x","a":01,"cache_salt":"t"}`), false)
	f.Add([]byte("{\"model\":\"m\",\"prompt\":\"a\nb\"}"), false)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		b, err := parseBody(raw, chat)
		if err != nil {
			return
		}
		require.True(t, json.Valid(raw), "%q is accepted", raw)
		b.capMaxTokens(config.Model{MaxAnswerTokens: 10})
		encoded, err := b.encode(engineFields{salt: "s"})
		require.NoError(t, err)
		var got map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(encoded, &got))
		require.JSONEq(t, `"s"`, string(got["cache_salt"]))
		require.Equal(t, 1, bytes.Count(encoded, []byte(`"cache_salt":"s"`)))
		_, err = parseBody(encoded, chat)
		require.NoError(t, err)
	})
}
