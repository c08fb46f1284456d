package answer

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/fixedseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1000)) }

func TestSequence(t *testing.T) {
	s := NewStreamTracker("mine")
	text := Chunk{Choices: []Choice{{Delta: &Content{Content: "a"}}}}
	tests := []struct {
		give EventID
		want EventStatus
	}{
		{EventID{"mine", 0}, EventNext},
		{EventID{"mine", 0}, EventDuplicate},
		{EventID{"other", 1}, EventMismatched},
		{EventID{"mine", 2}, EventGap},
		{EventID{"mine", 1}, EventNext},
	}
	for _, tt := range tests {
		got := s.Check(tt.give)
		require.Equal(t, tt.want, got, tt.give)
		if got == EventNext {
			s.Accept(text)
		}
	}
	s.ResetIndex()
	require.Equal(t, EventNext, s.Check(EventID{"mine", 0}), "another source counts from zero")
	got, tokens := s.Text()
	require.Equal(t, "aa", got)
	require.Equal(t, 2, tokens)
}

// TestSequencePassesEachEventOnce shuffles, repeats and mixes events and checks
// that what passes is a beginning of what was sent, in order.
func TestSequencePassesEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStreamTracker("mine")
		var passed []int
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			id := EventID{
				RequestID: rapid.SampledFrom([]string{"mine", "mine", "mine", "other"}).Draw(t, "request"),
				Index:     rapid.IntRange(0, 8).Draw(t, "index"),
			}
			if s.Check(id) == EventNext {
				require.Equal(t, "mine", id.RequestID)
				s.Accept(Chunk{})
				passed = append(passed, id.Index)
			}
		}
		for i, index := range passed {
			require.Equal(t, i, index)
		}
	})
}

func TestRead(t *testing.T) {
	chunk := func(n int) string {
		return fmt.Sprintf("id: r:%d\ndata: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", n)
	}
	tests := []struct {
		give    string
		stream  string
		want    int
		done    bool
		wantErr error
	}{
		{give: "whole", stream: chunk(0) + chunk(1) + "data: [DONE]\n\n", want: 2, done: true},
		{give: "ends early", stream: chunk(0), want: 1, wantErr: io.ErrUnexpectedEOF},
		{give: "cut in an event", stream: chunk(0) + "data: {\"id\":", want: 1, wantErr: io.ErrUnexpectedEOF},
		{give: "empty", wantErr: io.ErrUnexpectedEOF},
		{give: "nothing after the end is read", stream: "data: [DONE]\n\n" + chunk(0), done: true},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			got, done := 0, false
			var last error
			ReadEvents(strings.NewReader(tt.stream), func(e Event) bool {
				switch {
				case e.Done:
					done = true
				case e.Err != nil:
					last = e.Err
				default:
					got++
				}
				return true
			})
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.done, done)
			require.ErrorIs(t, last, tt.wantErr)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add("id: r:0\ndata: {\"id\":\"r\"}\n\ndata: [DONE]\n\n")
	f.Add("data: [DONE]")
	f.Add("id: r\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		ends := 0
		ReadEvents(strings.NewReader(stream), func(e Event) bool {
			if e.Done || e.Err != nil {
				ends++
			}
			return true
		})
		require.Equal(t, 1, ends, "every stream ends once")
	})
}
