package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var samples = []Message{
	&Hello{VM: "vm-1", Zone: "zone-a", Generation: 7, Proved: 7, ProofAgeMillis: 12, HasProof: true, HeldSlots: 0xffff},
	&LoanRequest{Team: "team", ID: "vm-1/x/1", Want: 20000, Forward: true},
	&LoanGrant{Tokens: 100, Rate: 5, Level: -7},
	&Reports{List: []Report{{ID: "vm-1/x/1", Team: "team", Kind: 3, Used: 7}}, Forward: true},
	&ChangesRequest{Generation: 3},
	&Changes{List: [][]byte{[]byte("{}")}, Complete: true},
	&SnapshotRequest{},
	&Snapshot{Data: []byte("{}")},
	&MembersRequest{},
	&Members{Data: []byte("{}")},
	&FailureError{Text: "no"},
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range samples {
		raw, err := Encode(m)
		require.NoError(t, err)
		again, err := Decode(raw)
		require.NoError(t, err)
		require.Equal(t, m, again)
		for cut := range raw {
			_, err := Decode(raw[:cut])
			require.Error(t, err, "truncated at %d", cut)
		}
	}
}

func TestDecodeRefuses(t *testing.T) {
	envelopeOf := func(version uint8, kind Kind, body any) []byte {
		raw, err := cbor.Marshal(body)
		require.NoError(t, err)
		out, err := cbor.Marshal(envelope{Version: version, Kind: kind, Body: raw})
		require.NoError(t, err)
		return out
	}
	tests := []struct {
		give string
		raw  []byte
		want error
	}{
		{give: "another version", raw: envelopeOf(Version+1, KindSnapshotRequest, SnapshotRequest{}), want: ErrVersion},
		{give: "an unknown kind", raw: envelopeOf(Version, 99, SnapshotRequest{}), want: ErrKind},
		{give: "a body of another kind", raw: envelopeOf(Version, KindHello, []int{1, 2})},
		{give: "an empty message"},
		{give: "text", raw: []byte("GET / HTTP/1.1")},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			_, err := Decode(tt.raw)
			require.Error(t, err)
			if tt.want != nil {
				require.ErrorIs(t, err, tt.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range samples {
		raw, err := Encode(m)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil {
			return
		}
		_, err = Encode(m)
		require.NoError(t, err)
	})
}

func BenchmarkMessages(b *testing.B) {
	for _, m := range samples[:4] {
		raw, err := Encode(m)
		require.NoError(b, err)
		b.Run(string(rune('0'+m.kind())), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(raw)), "B/message")
			for b.Loop() {
				raw, _ := Encode(m)
				_, _ = Decode(raw)
			}
		})
	}
}
