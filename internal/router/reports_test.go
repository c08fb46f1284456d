package router

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/stretchr/testify/require"
)

// The last flush before a process exits must wait for a periodic one in progress, whose
// reports would be lost otherwise.
func TestFlushWaitsForTheOneInProgress(t *testing.T) {
	authority, err := peer.NewAuthority()
	require.NoError(t, err)
	pair, err := authority.Issue()
	require.NoError(t, err)
	tlsConfig, err := peer.NewTLS(pair, authority.Cert())
	require.NoError(t, err)
	sending, proceed := make(chan struct{}), make(chan struct{})
	node, err := peer.NewNode(peer.Options{Address: "127.0.0.1:0", TLS: tlsConfig, Filter: func(string) error {
		sending <- struct{}{}
		<-proceed
		return errNotHolder
	}})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	p := newReporter(&Router{node: node, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}})
	p.add(destination{address: "127.0.0.2:1"}, team.Report{ID: "a"})
	go p.flush()
	<-sending
	flushed := make(chan struct{})
	go func() { p.flush(); close(flushed) }()
	select {
	case <-flushed:
		t.Error("flushed while reports were being sent")
	case <-time.After(50 * time.Millisecond):
	}
	close(proceed)
	<-flushed
}
