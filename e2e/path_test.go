package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

func TestSixRoutersServe(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 6, enginesPerZone: 2})
	parts := []string{strings.Repeat("instruction ", 1000), strings.Repeat("section ", 1000), "note"}
	for _, v := range f.vms {
		for _, whole := range []bool{false, true} {
			reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: parts, MaxTokens: 16, NonStreaming: whole})
			require.NoError(t, err)
			require.True(t, reply.OK(), "%+v", reply)
			require.Equal(t, standin.ExpectedText(parts, "v1", 16), reply.Text)
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
		{"invalid JSON", "POST", "/v1/chat/completions", f.keys[teamLarge], `{`, 400},
		{"no model", "POST", "/v1/chat/completions", f.keys[teamLarge], `{"messages":[]}`, 400},
		{"unknown model", "POST", "/v1/completions", f.keys[teamLarge], `{"model":"none","prompt":"x"}`, 404},
		{"prompt of the wrong type", "POST", "/v1/completions", f.keys[teamLarge], `{"model":"atlas","prompt":7}`, 400},
		{"no route", "GET", "/nowhere", f.keys[teamLarge], ``, 404},
		{"no idempotency key", "POST", "/bookings", f.keys[teamLarge], ``, 400},
		{"too many tokens for the burst", "POST", "/v1/completions", f.keys[teamSmall], `{"model":"atlas","prompt":"` + strings.Repeat("x", 30000) + `"}`, 413},
	}
	for _, tt := range refused {
		t.Run(tt.give, func(t *testing.T) {
			got := f.sendCall(f.vms[0], tt.method, tt.path, tt.key, "", tt.body, nil)
			require.NoError(t, got.err)
			require.Equal(t, tt.wantStatus, got.status, got.body)
			require.Equal(t, "no", got.runStatus)
			require.Contains(t, got.body, `"run":"no"`)
		})
	}
	require.Equal(t, http.StatusOK, f.sendCall(f.vms[0], "GET", "/open", "", "", "", nil).status)
	require.Equal(t, http.StatusOK, f.sendCall(f.vms[0], "GET", "/v1/models", f.keys[teamLarge], "", "", nil).status)
}

// TestMalformedRequestsGetErrorResponse sends invalid requests. Each connection must
// get an error response with the right status.
func TestMalformedRequestsGetErrorResponse(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 1, enginesPerZone: 1})
	auth := "Authorization: Bearer " + f.keys[teamLarge] + "\r\n"
	tests := []struct {
		give string
		raw  string
		want string
	}{
		{"not HTTP", "hello\r\n\r\n", "400"},
		{"headers too large", "GET /healthz HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n", "431"},
		{"body too large", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 99000000\r\n\r\n", "413"},
		{"invalid content length", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: many\r\n\r\n", "400"},
		{"deeply nested invalid JSON", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 20000\r\n\r\n" + strings.Repeat("[", 20000), "400"},
		{"wrong method", "GET /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", "405"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.vms[0].entryAddress)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte(tt.raw))
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			raw, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.want, strconv.Itoa(resp.StatusCode), string(raw))
			require.Contains(t, string(raw), `"run":"no"`)
		})
	}
}
