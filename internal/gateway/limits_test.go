package gateway

import (
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
)

// Defaults must leave descriptors for backend servers and memory for calls.
func TestDefaultsOfClientLimits(t *testing.T) {
	l := ClientLimits{HeadFields: 7}.WithDefaults(112, 2875)
	require.Equal(t, 1194, l.Conns)
	require.Equal(t, 512, l.PeerConns)
	require.Equal(t, 7, l.HeadFields, "a limit that is set stays")
	require.LessOrEqual(t, l.Conns+l.PeerConns+2*l.ProbeConns, 2875*3/4)
	require.Equal(t, l, l.WithDefaults(112, 2875))
	require.Equal(t, 1437, ClientLimits{}.WithDefaults(0, 2875).Conns)
	var problems []string
	report := func(field, _ string) { problems = append(problems, field) }
	l.check(report)
	require.Empty(t, problems)
	ClientLimits{Conns: -1, HeadShare: 1.5, PublicShare: -1, WriteTimeout: config.Duration(-time.Second)}.check(report)
	require.Equal(t, []string{"limits.conns", "limits.head_share", "limits.public_share", "limits.write_timeout"}, problems)
}
