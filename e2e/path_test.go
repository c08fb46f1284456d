package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

func TestSixRoutersServe(t *testing.T) {
	f := newFleet(t, shape{routers: 6, engines: 2})
	parts := []string{strings.Repeat("instruction ", 1000), strings.Repeat("section ", 1000), "note"}
	for _, v := range f.vms {
		for _, whole := range []bool{false, true} {
			reply, err := f.ask(v, teamLarge, trial.Ask{Parts: parts, Tokens: 16, Whole: whole})
			require.NoError(t, err)
			require.True(t, reply.OK(), "%+v", reply)
			require.Equal(t, standin.Expected(parts, "v1", 16), reply.Text)
		}
	}
	refused := []struct {
		give       string
		method     string
		path       string
		key        string
		body       string
		wantStatus int
	}{
		{"no key", "POST", "/v1/chat/completions", "", `{"model":"atlas","messages":[{"role":"user","content":"x"}]}`, 401},
		{"wrong key", "POST", "/v1/chat/completions", "mr-none", `{"model":"atlas","messages":[{"role":"user","content":"x"}]}`, 401},
		{"no JSON", "POST", "/v1/chat/completions", f.keys[teamLarge], `{`, 400},
		{"no model", "POST", "/v1/chat/completions", f.keys[teamLarge], `{"messages":[]}`, 400},
		{"unknown model", "POST", "/v1/completions", f.keys[teamLarge], `{"model":"none","prompt":"x"}`, 404},
		{"wrong kind", "POST", "/v1/completions", f.keys[teamLarge], `{"model":"atlas","prompt":7}`, 400},
		{"no route", "GET", "/nowhere", f.keys[teamLarge], ``, 404},
		{"no idempotency key", "POST", "/bookings", f.keys[teamLarge], ``, 400},
		{"too many tokens for the burst", "POST", "/v1/completions", f.keys[teamSmall], `{"model":"atlas","prompt":"` + strings.Repeat("x", 30000) + `"}`, 413},
	}
	for _, tt := range refused {
		t.Run(tt.give, func(t *testing.T) {
			got := f.call(f.vms[0], tt.method, tt.path, tt.key, "", tt.body, nil)
			require.NoError(t, got.err)
			require.Equal(t, tt.wantStatus, got.status, got.body)
			require.Equal(t, "no", got.run)
			require.Contains(t, got.body, `"run":"no"`)
		})
	}
	require.Equal(t, http.StatusOK, f.call(f.vms[0], "GET", "/open", "", "", "", nil).status)
	require.Equal(t, http.StatusOK, f.call(f.vms[0], "GET", "/v1/models", f.keys[teamLarge], "", "", nil).status)
}
