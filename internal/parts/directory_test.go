package parts

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHeldCountsOpeningPartsUnderOneSalt(t *testing.T) {
	d := NewDirectory()
	h := Holder{ID: "e", Born: 1}
	prompt := []Part{{"a", 100}, {"b", 50}, {"c", 20}}
	require.True(t, d.Add(h, 1000, "m@1", prompt[0], 0))
	require.False(t, d.Add(h, 1000, "m@1", prompt[0], 0))
	d.Add(h, 1000, "m@1", prompt[2], 0)
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
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, d.Held(tt.holder, tt.salt, prompt)) })
	}
}

func TestLeastRecentlyUsedPartsYield(t *testing.T) {
	d := NewDirectory()
	h := Holder{ID: "e", Born: 1}
	d.Add(h, 100, "s", Part{"a", 40}, 0)
	d.Add(h, 100, "s", Part{"b", 40}, 0)
	d.Add(h, 100, "s", Part{"a", 40}, 0)
	d.Add(h, 100, "s", Part{"c", 40}, 0)
	require.Equal(t, 40, d.Held(h, "s", []Part{{"a", 40}}))
	require.Zero(t, d.Held(h, "s", []Part{{"b", 40}}))
	require.Equal(t, 2, d.Len())
}

func TestNewIncarnationHoldsNothing(t *testing.T) {
	d := NewDirectory()
	d.Add(Holder{ID: "e", Born: 1}, 100, "s", Part{"a", 40}, 0)
	d.Add(Holder{ID: "e", Born: 2}, 100, "s", Part{"b", 40}, 0)
	require.Zero(t, d.Held(Holder{ID: "e", Born: 2}, "s", []Part{{"a", 40}}))
	d.Forget("e")
	require.Zero(t, d.Len())
}
