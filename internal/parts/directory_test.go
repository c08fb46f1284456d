package parts

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHeldTokensCountsLeadingPartsUnderOneSalt(t *testing.T) {
	d := NewDirectory(testBytes)
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
		{"up to the first missing part", h, "m@1", 100},
		{"another salt", h, "m@2", 0},
		{"another incarnation", Holder{ID: "e", Born: 2}, "m@1", 0},
		{"another engine", Holder{ID: "f", Born: 1}, "m@1", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, d.HeldTokens(tt.holder, tt.salt, prompt, NoAgeLimit)) })
	}
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	d := NewDirectory(testBytes)
	h := Holder{ID: "e", Born: 1}
	d.Add(h, 100, "s", Part{"a", 40}, 0, 0)
	d.Add(h, 100, "s", Part{"b", 40}, 0, 0)
	d.Add(h, 100, "s", Part{"a", 40}, 0, 0)
	d.Add(h, 100, "s", Part{"c", 40}, 0, 0)
	require.Equal(t, 40, d.HeldTokens(h, "s", []Part{{"a", 40}}, NoAgeLimit))
	require.Zero(t, d.HeldTokens(h, "s", []Part{{"b", 40}}, NoAgeLimit))
	require.Equal(t, 2, d.Len())
}

func TestPartsNotUsedSinceAreNotCounted(t *testing.T) {
	d := NewDirectory(testBytes)
	h := Holder{ID: "e", Born: 1}
	parts := []Part{{"a", 40}, {"b", 40}}
	for i, p := range parts {
		d.Add(h, 100, "s", p, time.Duration(2-i)*time.Second, time.Duration(2-i)*time.Second)
	}
	require.Equal(t, 80, d.HeldTokens(h, "s", parts, time.Second))
	require.Equal(t, 40, d.HeldTokens(h, "s", parts, 1500*time.Millisecond))
	require.Zero(t, d.HeldTokens(h, "s", parts, 3*time.Second))
}

func TestUseIsAnnouncedAgainAfterInterval(t *testing.T) {
	d := NewDirectory(testBytes)
	h := Holder{ID: "e", Born: 1}
	steps := []struct {
		now  time.Duration
		want bool
	}{{0, true}, {reannounceInterval / 2, false}, {reannounceInterval, true}, {reannounceInterval + 1, false}, {2 * reannounceInterval, true}}
	for _, s := range steps {
		require.Equal(t, s.want, d.Add(h, 100, "s", Part{"a", 40}, s.now, s.now), s.now)
	}
}

func TestThroughputMeterAverages(t *testing.T) {
	var m ThroughputMeter
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		m.Add(10, now)
	}
	require.InDelta(t, 1000, m.Rate(20*time.Second), 20)
	require.Less(t, m.Rate(30*time.Second), 10.0)
}

func TestNewIncarnationHoldsNothing(t *testing.T) {
	d := NewDirectory(testBytes)
	d.Add(Holder{ID: "e", Born: 1}, 100, "s", Part{"a", 40}, 0, 0)
	d.Add(Holder{ID: "e", Born: 2}, 100, "s", Part{"b", 40}, 0, 0)
	require.Zero(t, d.HeldTokens(Holder{ID: "e", Born: 2}, "s", []Part{{"a", 40}}, NoAgeLimit))
	d.RemoveHolder("e")
	require.Zero(t, d.Len())
}

func TestPartsThatAreNotYetComputedAreNotReady(t *testing.T) {
	d := NewDirectory(testBytes)
	h := Holder{ID: "e", Born: 1}
	prompt := []Part{{"a", 40}, {"b", 20}, {"c", 10}}
	for i, p := range prompt {
		d.Add(h, 100, "s", p, 0, time.Duration(i)*time.Second)
	}
	lookup := func(now time.Duration) CacheLookup {
		lookups := []CacheLookup{{Holder: h, Salt: "s", Since: NoAgeLimit}}
		d.Lookup(lookups, prompt, now)
		return lookups[0]
	}
	require.Equal(t, 70, lookup(0).HeldTokens)
	require.Equal(t, 40, lookup(0).ReadyTokens)
	require.Equal(t, 70, lookup(2*time.Second).ReadyTokens)
	// A later call that uses a part must not delay the time at which it is ready. The
	// first event of an answer shows that all parts are.
	d.Add(h, 100, "s", prompt[0], time.Second, 9*time.Second)
	require.Equal(t, 60, lookup(time.Second).ReadyTokens)
	d.MarkReady(h, "s", prompt, 0)
	require.Equal(t, 70, lookup(0).ReadyTokens)
	d.MarkReady(Holder{ID: "e", Born: 2}, "s", prompt, 0)
}
