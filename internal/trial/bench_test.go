package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/examples/profiles"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// oneEngine returns a deployment with a single engine and a team whose rate is never
// reached.
func oneEngine(address profiles.AddressFunc) *declare.Deployment {
	d := declare.New().Zone("zone-a", 1)
	d.Model("atlas", "v1").Limit(256)
	d.Engine("engine-1", "zone-a", "atlas", address("engine-1")).Slots(64)
	d.Team("team").Rate(1e9).Burst(1e9)
	d.ModelRoute("captions", "atlas")
	return d
}

// startProxy starts a plain reverse proxy, the baseline for the cost of one hop.
func startProxy(t testing.TB, target string) string {
	client := &fasthttp.HostClient{Addr: target, StreamResponseBody: true}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		ctx.Request.CopyTo(req)
		req.SetHost(target)
		resp := fasthttp.AcquireResponse()
		resp.StreamBody = true
		if err := client.Do(req, resp); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
			return
		}
		ctx.SetContentType("text/event-stream")
		resp.Header.VisitAll(func(name, value []byte) { //nolint:staticcheck // the proxy copies all headers as received
			if strings.HasPrefix(string(name), "Marjoramrock-") {
				ctx.Response.Header.SetBytesKV(name, value)
			}
		})
		ctx.SetBodyStream(resp.BodyStream(), -1)
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// BenchmarkAddedTime measures the time to the complete answer of a small request
// from the engine directly, through a plain proxy, and through the router.
func BenchmarkAddedTime(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	c, err := StartCluster(ctx, ClusterOptions{
		Deployment: oneEngine, Routers: 1, EngineOptions: standin.EngineOptions{CacheBlocks: 100},
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	require.NoError(b, err)
	defer c.Close()
	engine := c.Engines["engine-1"].Address()
	for _, target := range []struct{ name, address string }{
		{"direct", engine}, {"relay", startProxy(b, engine)}, {"router", c.Routers[0].EntryAddress()},
	} {
		for _, tokens := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/tokens=%d", target.name, tokens), func(b *testing.B) {
				measureLatency(b, target.address, c.Key("team"), tokens)
			})
		}
	}
}

func measureLatency(b *testing.B, address, key string, tokens int) {
	body := fmt.Sprintf(`{"model":"atlas","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		tokens, strings.Repeat("site history ", 2000))
	times := newHistogram()
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(b, err)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Marjoramrock-Request", "bench")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(b, err)
		raw, err := io.ReadAll(resp.Body)
		require.NoError(b, err)
		_ = resp.Body.Close()
		require.Equal(b, http.StatusOK, resp.StatusCode, string(raw))
		_ = times.RecordValue(time.Since(began).Microseconds())
	}
	b.ReportMetric(quantileMillis(times, 50), "p50-ms")
	b.ReportMetric(quantileMillis(times, 99), "p99-ms")
}
