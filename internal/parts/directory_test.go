package parts

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHeldCountsOpeningPartsUnderOneSalt(t *testing.T) {
	d := NewDirectory()
	h := Holder{ID: "e", Born: 1}
	prompt := []Part{{"a", 100}, {"b", 50}, {"c", 20}}
	require.True(t, d.Add(h, 1000, "m@1", prompt[0], 0, 0))
	require.False(t, d.Add(h, 1000, "m@1", prompt[0], 0, 0))
	d.Add(h, 1000, "m@1", prompt[2], 0, 0)
	tests := []struct {
		name   string
		holder Holder
		salt   string
		want   int
	}{
		{"up to the first gap", h, "m@1", 100},
		{"another salt", h, "m@2", 0},
		{"another incarnation", Holder{ID: "e", Born: 2}, "m@1", 0},
		{"another engine", Holder{ID: "f", Born: 1}, "m@1", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, d.HeldTokens(tt.holder, tt.salt, prompt, NoAgeLimit)) })
	}
}

func TestLeastRecentlyUsedPartsYield(t *testing.T) {
	d := NewDirectory()
	h := Holder{ID: "e", Born: 1}
	d.Add(h, 100, "s", Part{"a", 40}, 0, 0)
	d.Add(h, 100, "s", Part{"b", 40}, 0, 0)
	d.Add(h, 100, "s", Part{"a", 40}, 0, 0)
	d.Add(h, 100, "s", Part{"c", 40}, 0, 0)
	require.Equal(t, 40, d.HeldTokens(h, "s", []Part{{"a", 40}}, NoAgeLimit))
	require.Zero(t, d.HeldTokens(h, "s", []Part{{"b", 40}}, NoAgeLimit))
	require.Equal(t, 2, d.Len())
}

func TestPartsAge(t *testing.T) {
	d := NewDirectory()
	h := Holder{ID: "e", Born: 1}
	parts := []Part{{"a", 40}, {"b", 40}}
	for i, p := range parts {
		d.Add(h, 100, "s", p, time.Duration(2-i)*time.Second, time.Duration(2-i)*time.Second)
	}
	require.Equal(t, 80, d.HeldTokens(h, "s", parts, time.Second))
	require.Equal(t, 40, d.HeldTokens(h, "s", parts, 1500*time.Millisecond))
	require.Zero(t, d.HeldTokens(h, "s", parts, 3*time.Second))
}

func TestUseIsNewsAgainAfterAWhile(t *testing.T) {
	d := NewDirectory()
	h := Holder{ID: "e", Born: 1}
	steps := []struct {
		at   time.Duration
		want bool
	}{{0, true}, {retell / 2, false}, {retell, true}, {retell + 1, false}, {2 * retell, true}}
	for _, s := range steps {
		require.Equal(t, s.want, d.Add(h, 100, "s", Part{"a", 40}, s.at, s.at), s.at)
	}
}

func TestFlowAverages(t *testing.T) {
	var f ThroughputMeter
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		f.Add(10, now)
	}
	require.InDelta(t, 1000, f.Rate(20*time.Second), 20)
	require.Less(t, f.Rate(30*time.Second), 10.0)
}

func TestNewIncarnationHoldsNothing(t *testing.T) {
	d := NewDirectory()
	d.Add(Holder{ID: "e", Born: 1}, 100, "s", Part{"a", 40}, 0, 0)
	d.Add(Holder{ID: "e", Born: 2}, 100, "s", Part{"b", 40}, 0, 0)
	require.Zero(t, d.HeldTokens(Holder{ID: "e", Born: 2}, "s", []Part{{"a", 40}}, NoAgeLimit))
	d.RemoveHolder("e")
	require.Zero(t, d.Len())
}

func TestPartsThatAreBeingReadAreNoSource(t *testing.T) {
	d := NewDirectory()
	h := Holder{ID: "e", Born: 1}
	prompt := []Part{{"a", 40}, {"b", 20}, {"c", 10}}
	for i, p := range prompt {
		d.Add(h, 100, "s", p, 0, time.Duration(i)*time.Second)
	}
	at := func(now time.Duration) CacheLookup {
		holdings := []CacheLookup{{Holder: h, Salt: "s", Since: NoAgeLimit}}
		d.Lookup(holdings, prompt, now)
		return holdings[0]
	}
	require.Equal(t, 70, at(0).HeldTokens)
	require.Equal(t, 40, at(0).ReadyTokens)
	require.Equal(t, 70, at(2*time.Second).ReadyTokens)
	// A later call for the parts does not make them less ready, and a first event
	// shows that they are.
	d.Add(h, 100, "s", prompt[0], time.Second, 9*time.Second)
	require.Equal(t, 60, at(time.Second).ReadyTokens)
	d.MarkReady(h, "s", prompt, 0)
	require.Equal(t, 70, at(0).ReadyTokens)
	d.MarkReady(Holder{ID: "e", Born: 2}, "s", prompt, 0)
}
