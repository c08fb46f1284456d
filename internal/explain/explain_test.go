package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `   1.20 front-1 {"event":602,"engine":"e1","message":"order sent to engine","time":"2026-01-01T00:00:01.2Z","vm":"vm1","version":2}
not a log line
{"event":508,"request":"r1","server":"e1","message":"attempt at a backend server failed","time":"2026-01-01T00:00:01.5Z","vm":"vm1","notrun":true,"status":503}
{"event":507,"request":"r1","server":"e2","message":"request ended","time":"2026-01-01T00:00:01.8Z","vm":"vm1","ms":400,"outcome":"answered","fetch":""}
{"event":507,"request":"r2","server":"e1","message":"request ended","time":"2026-01-01T00:00:01.9Z","vm":"vm1","ms":1,"outcome":"answered"}
{"event":204,"message":"store unreachable","time":"2026-01-01T00:00:01.0Z","vm":"vm2"}
{"event":204,"message":"store unreachable","time":"2026-01-01T00:00:01.0Z","vm":"vm1"}
{"event":204,"message":"store unreachable","time":"2026-01-01T00:00:09.0Z","vm":"vm1"}
{broken
`

func TestWriteTimeline(t *testing.T) {
	lines, err := ReadLog(strings.NewReader(logs))
	require.NoError(t, err)
	require.Len(t, lines, 7)
	var b strings.Builder
	found, err := WriteTimeline(&b, lines, "r1")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, `    -0.400s vm1 store unreachable
    -0.200s vm1 order sent to engine engine=e1 version=2
>   +0.100s vm1 attempt at a backend server failed notrun=true server=e1 status=503
>   +0.400s vm1 request ended ms=400 outcome=answered server=e2
`, b.String())
	found, err = WriteTimeline(&b, lines, "r9")
	require.NoError(t, err)
	require.False(t, found)
}
