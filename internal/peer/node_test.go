package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/measure"
	"github.com/stretchr/testify/require"
)

var errRefused = errors.New("refused")

func newNode(t testing.TB, tlsConfig *tls.Config, filter AddressFilter, onInvalid func(string, error)) *Node {
	t.Helper()
	return newNodeAt(t, "127.0.0.1:0", tlsConfig, filter, onInvalid)
}

func newNodeAt(t testing.TB, address string, tlsConfig *tls.Config, filter AddressFilter, onInvalid func(string, error)) *Node {
	t.Helper()
	n, err := NewNode(Options{
		Address: address, TLS: tlsConfig, Filter: filter, OnInvalid: onInvalid,
		Handler: func(_ context.Context, m Message) (Message, error) {
			switch m := m.(type) {
			case *LoanRequest:
				return &LoanGrant{Tokens: m.Want, Rate: 1}, nil
			case *Hello:
				return &Hello{VM: "other", Generation: m.Generation}, nil
			default:
				return nil, errRefused
			}
		},
	})
	require.NoError(t, err)
	t.Cleanup(n.Close)
	return n
}

func newTLS(t testing.TB) *tls.Config {
	t.Helper()
	authority, err := NewAuthority()
	require.NoError(t, err)
	pair, err := authority.Issue()
	require.NoError(t, err)
	tlsConfig, err := NewTLS(pair, authority.Cert())
	require.NoError(t, err)
	return tlsConfig
}

func allowAll(string) error { return nil }

func ignore(string, error) {}

func TestCall(t *testing.T) {
	tlsConfig := newTLS(t)
	a, b := newNode(t, tlsConfig, allowAll, ignore), newNode(t, tlsConfig, allowAll, ignore)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	grant, err := Call[*LoanGrant](ctx, a, b.Address(), &LoanRequest{Team: "t", ID: "1", Want: 7})
	require.NoError(t, err)
	require.Equal(t, 7.0, grant.Tokens)
	_, err = Call[*LoanGrant](ctx, a, b.Address(), &Hello{})
	require.ErrorIs(t, err, ErrUnexpected)
	_, err = Call[*LoanGrant](ctx, a, b.Address(), &SnapshotRequest{})
	var failure *FailureError
	require.ErrorAs(t, err, &failure)
	b.Close()
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	_, err = Call[*LoanGrant](short, a, b.Address(), &LoanRequest{Want: 1})
	require.Error(t, err)
}

// TestRestartedPeerIsReached restarts a peer at the same address, with and without
// closing its connections first.
func TestRestartedPeerIsReached(t *testing.T) {
	tests := []struct {
		give string
		end  func(n *Node)
		// fail is how many calls may fail before one succeeds.
		fail int
	}{
		{give: "closed", end: (*Node).Close},
		{give: "killed", end: func(n *Node) { _ = n.transport.Conn.Close() }, fail: 1},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			tlsConfig := newTLS(t)
			a, b := newNode(t, tlsConfig, allowAll, ignore), newNode(t, tlsConfig, allowAll, ignore)
			ctx := context.Background()
			_, err := Call[*LoanGrant](ctx, a, b.Address(), &LoanRequest{Want: 1})
			require.NoError(t, err)
			address := b.Address()
			tt.end(b)
			newNodeAt(t, address, tlsConfig, allowAll, ignore)
			failed := 0
			for {
				short, cancel := context.WithTimeout(ctx, time.Second)
				_, err := Call[*LoanGrant](short, a, address, &LoanRequest{Want: 1})
				cancel()
				if err == nil {
					break
				}
				failed++
				require.LessOrEqual(t, failed, tt.fail, "%v", err)
			}
		})
	}
}

func TestForeignCertificatesAndFilteredAddressesAreRefused(t *testing.T) {
	tlsConfig := newTLS(t)
	b := newNode(t, tlsConfig, allowAll, ignore)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	foreign := newNode(t, newTLS(t), allowAll, ignore)
	_, err := Call[*LoanGrant](ctx, foreign, b.Address(), &LoanRequest{Want: 1})
	require.Error(t, err, "the certificate is of another authority")
	filtered := newNode(t, tlsConfig, func(string) error { return errRefused }, ignore)
	_, err = Call[*LoanGrant](ctx, filtered, b.Address(), &LoanRequest{Want: 1})
	require.ErrorIs(t, err, errRefused)
	_, err = Call[*LoanGrant](ctx, b, filtered.Address(), &LoanRequest{Want: 1})
	require.Error(t, err, "the filter applies to both directions")
}

func TestInvalidMessageIsReported(t *testing.T) {
	tlsConfig := newTLS(t)
	bad := make(chan error, 1)
	a := newNode(t, tlsConfig, allowAll, ignore)
	b := newNode(t, tlsConfig, allowAll, func(_ string, err error) { bad <- err })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := a.connect(ctx, b.Address())
	require.NoError(t, err)
	stream, err := conn.OpenStreamSync(ctx)
	require.NoError(t, err)
	_, err = stream.Write([]byte("not a message"))
	require.NoError(t, err)
	require.NoError(t, stream.Close())
	require.Error(t, <-bad)
	_, err = Call[*LoanGrant](ctx, a, b.Address(), &LoanRequest{Want: 1})
	require.NoError(t, err, "the connection stays usable")
}

// BenchmarkCall measures one loan between two nodes: the time, and the bytes in both
// directions including acknowledgements, for several pauses between loans.
func BenchmarkCall(b *testing.B) {
	for _, pause := range []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond} {
		b.Run(pause.String(), func(b *testing.B) {
			tlsConfig := newTLS(b)
			from, to := newNode(b, tlsConfig, allowAll, ignore), newNode(b, tlsConfig, allowAll, ignore)
			ask := func() {
				_, err := Call[*LoanGrant](context.Background(), from, to.Address(), &LoanRequest{Team: "team-1", ID: "vm-1/abc/1", Want: 9000})
				require.NoError(b, err)
				time.Sleep(pause)
			}
			ask()
			before, err := measure.LoopbackBytesReceived()
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				ask()
			}
			after, err := measure.LoopbackBytesReceived()
			require.NoError(b, err)
			b.ReportMetric((after-before)/float64(b.N), "B/exchange")
		})
	}
}
