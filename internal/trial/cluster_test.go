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
