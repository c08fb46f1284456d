package trial

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/examples/profiles"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/stretchr/testify/require"
)

func TestClusterServes(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, err := StartCluster(ctx, ClusterOptions{
		Deployment:    profiles.Gumless,
		Routers:       3,
		EngineOptions: standin.EngineOptions{CacheBlocks: 100, PrefillPerToken: time.Microsecond, DecodePerToken: 100 * time.Microsecond},
		Log:           &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	require.NoError(t, err)
	defer c.Close()
	messages := []string{strings.Repeat("instruction ", 700), strings.Repeat("history ", 2000), "note"}
	for _, nonStreaming := range []bool{false, true} {
		for _, r := range c.Routers {
			reply, err := SendModelRequest(ctx, http.DefaultClient, r.EntryAddress(), c.Key("office"), ModelRequest{Model: "answer", Messages: messages, MaxTokens: 20, NonStreaming: nonStreaming})
			require.NoError(t, err)
			require.Nil(t, reply.Error)
			require.True(t, reply.OK())
			require.Equal(t, standin.ExpectedText(messages, "v1", 20), reply.Text)
			require.NotNil(t, reply.Usage)
		}
	}
}

// A stopping router must not take a call that may outlast the stop: its end would cut the
// call, whose outcome the caller could not know.
func TestCallThatOutlastsAStopOfARouterIsRefused(t *testing.T) {
	tests := []struct {
		give string
		// store are faults of the store from the beginning of the stop until the late call
		// has been answered.
		store standin.PlatformFaults
	}{
		{give: "in calm"},
		{give: "with a slow store", store: standin.PlatformFaults{DelayMillis: 1500}},
		{give: "without the store", store: standin.PlatformFaults{Down: true}},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) { testCallThatOutlastsAStop(t, tt.store) })
	}
}

func testCallThatOutlastsAStop(t *testing.T, store standin.PlatformFaults) {
	t.Helper()
	const stopTime = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, err := StartCluster(ctx, ClusterOptions{
		Deployment: profiles.Gumless, Routers: 1, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	require.NoError(t, err)
	defer c.Close()
	delay := func(d time.Duration) {
		for _, s := range c.Services {
			s.SetFaults(standin.ServiceFaults{DelayMillis: int(d.Milliseconds())})
		}
	}
	book := func(id string) (*http.Response, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Routers[0].EntryAddress()+"/bookings", strings.NewReader(id))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+c.Key("office"))
		r.Header.Set("Idempotency-Key", id)
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			err = resp.Body.Close()
		}
		return resp, err
	}
	type answer struct {
		resp *http.Response
		err  error
	}
	ask := func(id string) <-chan answer {
		answers := make(chan answer, 1)
		go func() {
			resp, err := book(id)
			answers <- answer{resp, err}
		}()
		return answers
	}
	delay(stopTime / 2)
	before := ask("before")
	time.Sleep(100 * time.Millisecond)
	c.Platform.SetFaults(store)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopCtx, cancel := context.WithTimeout(ctx, stopTime)
		defer cancel()
		// The process ends then, whether calls are in progress or not.
		_ = c.Routers[0].Shutdown(stopCtx)
		c.Routers[0].Close()
	}()
	time.Sleep(400 * time.Millisecond)
	delay(2 * stopTime)
	late := <-ask("late")
	c.Platform.SetFaults(standin.PlatformFaults{})
	require.NoError(t, late.err, "the call was cut")
	require.Equal(t, http.StatusServiceUnavailable, late.resp.StatusCode)
	require.Equal(t, "no", late.resp.Header.Get("Marjoramrock-Run"))
	require.NotEmpty(t, late.resp.Header.Get("Retry-After"))
	for _, s := range c.Services {
		require.Zero(t, s.Counts().RunsByKey["late"])
	}
	first := <-before
	require.NoError(t, first.err)
	require.Equal(t, http.StatusOK, first.resp.StatusCode)
	<-stopped
}
