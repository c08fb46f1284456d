package buffer

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// testLimit is the limit of each buffer in tests, and testBudget a limit on all.
const (
	testLimit  = 8 << 20
	testBudget = 3 << 19
)

func TestBuffersOfAllCallsAreBounded(t *testing.T) {
	budget := NewBudget(testBudget)
	var held []*Buffer
	for {
		b := New(budget, testLimit)
		held = append(held, b)
		if err := b.ReadAll(bytes.NewReader(make([]byte, 100<<10))); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
		require.Len(t, b.Bytes(), 100<<10)
	}
	require.Greater(t, len(held), 5)
	total := 0
	for _, b := range held {
		total += cap(b.Bytes())
	}
	require.LessOrEqual(t, total, 3<<20)
	for _, b := range held {
		b.Release()
	}
	require.Zero(t, budget.Used())
}

func TestBodiesAtTheSizeLimit(t *testing.T) {
	tests := []struct {
		size int
		err  error
	}{{0, nil}, {1, nil}, {minBufferBytes, nil}, {20000, nil}, {20001, ErrTooLarge}, {1 << 20, ErrTooLarge}}
	for _, tt := range tests {
		b := New(NewBudget(testLimit), 20000)
		err := b.ReadAll(bytes.NewReader(make([]byte, tt.size)))
		if tt.err != nil {
			require.ErrorIs(t, err, tt.err)
			continue
		}
		require.NoError(t, err)
		require.Len(t, b.Bytes(), tt.size)
	}
	b := New(NewBudget(testLimit), 20000)
	require.ErrorIs(t, b.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF)), io.ErrUnexpectedEOF)
}
