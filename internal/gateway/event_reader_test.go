package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/stretchr/testify/require"
)

func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, in, raw, id string
		err               error
	}{
		{"complete event", "id: 7\ndata: x\n\nid: 8", "id: 7\ndata: x\n\n", "7", nil},
		{"carriage returns", "id: 7\r\n\r\n", "id: 7\r\n\r\n", "7", nil},
		{"no id", "data: x\n\n", "data: x\n\n", "", nil},
		{"end of stream", "", "", "", io.EOF},
		{"incomplete event", "id: 7\nda", "id: 7\nda", "7", io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(tt.in), newBufferBudget(0))
			e, err := r.next()
			require.Equal(t, tt.raw, string(e.raw))
			require.Equal(t, tt.id, e.id)
			require.Equal(t, tt.err, err)
		})
	}
}

func TestLinesOfEvents(t *testing.T) {
	tests := []struct {
		line string
		want bool
	}{
		{"data: x", true},
		{"data:", true},
		{"data", true},
		{": comment", true},
		{":", true},
		{"retry: 5", true},
		{"event: error", true},
		{"weight-versions: 3", true},
		{"x_other.field: y", true},
		{"HTTP/1.1 503 Service Unavailable", false},
		{"HTTP/1.1 503 Busy: try again", false},
		{"overloaded", false},
		{"{\"error\": 1}", false},
		{"<p>Error: 1</p>", false},
		{" data: x", false},
		{"\x00: y", false},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			r := newEventReader(strings.NewReader("id: 1\n"+tt.line+"\n\n"), newBufferBudget(0))
			e, err := r.next()
			if tt.want {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, errNoEvent)
			require.Empty(t, e.raw)
		})
	}
}

// endlessReader repeats a text without end and counts what was read.
type endlessReader struct {
	text string
	read int
	// block is the text, repeated. A read per repetition would take long.
	block string
}

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.block == "" {
		r.block = strings.Repeat(r.text, 64<<10/len(r.text))
	}
	n := copy(p, r.block[r.read%len(r.text):])
	r.read += n
	return n, nil
}

func TestEventsWithoutEnd(t *testing.T) {
	tests := []struct{ name, text string }{
		{"a line without end", "x"},
		{"an event without end", "data: x\n"},
		{"a comment without end", ": x\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			source, budget := &endlessReader{text: tt.text}, newBufferBudget(0)
			r := newEventReader(source, budget)
			_, err := r.next()
			require.ErrorIs(t, err, buffer.ErrTooLarge)
			require.LessOrEqual(t, source.read, 2*maxEventBytes)
			r.release()
			require.Zero(t, budget.Used())
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 7\ndata: x\n\nid: 8")
	f.Add(": comment\r\n\r\n")
	f.Add("\n\ndata")
	f.Add("id: 7\n\nHTTP/1.1 503 Service Unavailable\r\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		budget := newBufferBudget(0)
		r := newEventReader(strings.NewReader(stream), budget)
		defer r.release()
		var got strings.Builder
		for {
			e, err := r.next()
			got.Write(e.raw)
			if err != nil {
				if errors.Is(err, errNoEvent) {
					if !strings.HasPrefix(stream, got.String()) {
						t.Fatalf("events %q of stream %q", got.String(), stream)
					}
					return
				}
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, buffer.ErrTooLarge) {
					t.Fatal(err)
				}
				break
			}
		}
		if len(stream) < maxEventBytes && strings.TrimSpace(got.String()) != strings.TrimSpace(stream) {
			t.Fatalf("events %q of stream %q", got.String(), stream)
		}
	})
}
