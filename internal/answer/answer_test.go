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

func TestStreamTracker(t *testing.T) {
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
	require.Equal(t, EventNext, s.Check(EventID{"mine", 0}), "indexes of the next source start at zero")
	got, tokens := s.Text()
	require.Equal(t, "aa", got)
	require.Equal(t, 2, tokens)
}

// TestStreamTrackerAcceptsEachEventOnce reorders and repeats events and mixes in
// those of another request, and checks that the accepted ones are a prefix of the
// stream, in order.
func TestStreamTrackerAcceptsEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStreamTracker("mine")
		var accepted []int
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			id := EventID{
				RequestID: rapid.SampledFrom([]string{"mine", "mine", "mine", "other"}).Draw(t, "request"),
				Index:     rapid.IntRange(0, 8).Draw(t, "index"),
			}
			if s.Check(id) == EventNext {
				require.Equal(t, "mine", id.RequestID)
				s.Accept(Chunk{})
				accepted = append(accepted, id.Index)
			}
		}
		for i, index := range accepted {
			require.Equal(t, i, index)
		}
	})
}

func TestReadEvents(t *testing.T) {
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
		{give: "complete", stream: chunk(0) + chunk(1) + "data: [DONE]\n\n", want: 2, done: true},
		{give: "ends early", stream: chunk(0), want: 1, wantErr: io.ErrUnexpectedEOF},
		{give: "truncated within an event", stream: chunk(0) + "data: {\"id\":", want: 1, wantErr: io.ErrUnexpectedEOF},
		{give: "empty", wantErr: io.ErrUnexpectedEOF},
		{give: "events after the end are not read", stream: "data: [DONE]\n\n" + chunk(0), done: true},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			got, done := 0, false
			var streamErr error
			ReadEvents(strings.NewReader(tt.stream), func(e Event) bool {
				switch {
				case e.Done:
					done = true
				case e.Err != nil:
					streamErr = e.Err
				default:
					got++
				}
				return true
			})
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.done, done)
			require.ErrorIs(t, streamErr, tt.wantErr)
		})
	}
}

func FuzzReadEvents(f *testing.F) {
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
		require.Equal(t, 1, ends, "a stream must end exactly once")
	})
}
