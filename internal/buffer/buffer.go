package buffer

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxGarbageShare is the part of the limit that may be allocated between two garbage
	// collections.
	maxGarbageShare = 0.5
	// enoughCollections is the number of garbage collections within a time that make one
	// more needless: the first may have begun before it.
	enoughCollections = 2
	// minBufferBytes is the size at which a buffer starts to count. Smaller ones are
	// bounded by the number of connections.
	minBufferBytes = 8 << 10
)

// ErrFull means that the buffers hold as many bytes as they may together.
var ErrFull = errors.New("buffers of the calls in progress are full")

// ErrTooLarge means that a body or event exceeds its size limit.
var ErrTooLarge = errors.New("response exceeds the size limit")

// Budget bounds the bytes that all calls in progress hold together, and the garbage
// of buffers that are no longer held. It is safe for concurrent use.
type Budget struct {
	limit int64
	// whole is the budget of which this one is a share, or nil.
	whole *Budget
	used  atomic.Int64
	// allocated is the size of the buffers allocated since the last garbage collection
	// that CollectGarbage knows of. Beyond maxGarbageShare of limit, no buffer is
	// allocated before another one.
	allocated atomic.Int64

	mu sync.Mutex // guards the field below
	// collections is the number of garbage collections at the time of that one.
	collections uint64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// NewShare returns a budget of limit bytes whose uses count in b, too.
func (b *Budget) NewShare(limit int64) *Budget { return &Budget{limit: limit, whole: b} }

// Limit returns the number of bytes that buffers may hold together.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that buffers hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// Take takes n bytes, to be given back with Return. It returns false if there are not as
// many left.
func (b *Budget) Take(n int) bool {
	if b.used.Add(int64(n)) > b.limit || b.whole != nil && !b.whole.Take(n) {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Return gives back n bytes.
func (b *Budget) Return(n int) {
	b.used.Add(-int64(n))
	if b.whole != nil {
		b.whole.Return(n)
	}
}

// CollectGarbage runs the garbage collector before n bytes are allocated if much of the
// memory of former buffers may be left. The collector runs often enough by itself unless
// several processors allocate buffers at once.
func (b *Budget) CollectGarbage(n int) {
	if b.whole != nil {
		b.whole.CollectGarbage(n)
		return
	}
	limit := max(int64(maxGarbageShare*float64(b.limit)), int64(n))
	for b.allocated.Add(int64(n)) > limit {
		b.mu.Lock()
		if b.allocated.Load() > limit {
			if collections() < b.collections+enoughCollections {
				runtime.GC()
			}
			b.collections = collections()
			b.allocated.Store(0)
		}
		b.mu.Unlock()
	}
}

// collections returns the number of garbage collections that have ended.
func collections() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Buffer collects the bytes of one body or event.
type Buffer struct {
	budget *Budget
	// limit bounds the length of bytes.
	limit int
	bytes []byte
	// taken is the part of the budget that the buffer holds.
	taken int
}

// New returns an empty buffer for at most limit bytes.
func New(budget *Budget, limit int) *Buffer { return &Buffer{budget: budget, limit: limit} }

// Bytes returns what the buffer holds. It is valid until the next change of the buffer.
func (b *Buffer) Bytes() []byte { return b.bytes }

// grow makes room for n more bytes. It returns ErrTooLarge beyond the limit
// and ErrFull beyond the budget.
func (b *Buffer) grow(n int) error {
	need := len(b.bytes) + n
	if need > b.limit {
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, b.limit)
	}
	if need <= cap(b.bytes) {
		return nil
	}
	size := min(max(2*cap(b.bytes), need, minBufferBytes), b.limit)
	if size > minBufferBytes {
		if !b.budget.Take(size - b.taken) {
			return ErrFull
		}
		b.taken = size
		b.budget.CollectGarbage(size)
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return nil
}

// Append adds bytes. It returns ErrTooLarge beyond the limit and ErrFull beyond the budget.
func (b *Buffer) Append(p []byte) error {
	if err := b.grow(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// ReadAll reads r to its end. The error is ErrTooLarge, ErrFull, or that of r.
func (b *Buffer) ReadAll(r io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(1); err != nil && !errors.Is(err, ErrTooLarge) {
				return err
			}
		}
		if len(b.bytes) == b.limit {
			return b.expectEOF(r)
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Parameters of ReadAllMakingRoom: how often it makes room, and how long it waits each time
// for the memory to be given back.
const (
	maxRoomAttempts = 4
	roomWait        = 50 * time.Millisecond
	roomCheckPeriod = time.Millisecond
)

// ReadAllMakingRoom is ReadAll, but calls makeRoom when the budget is full. That reports
// whether it has ended the use of another buffer, which is released soon.
func (b *Buffer) ReadAllMakingRoom(r io.Reader, makeRoom func() bool) error {
	for range maxRoomAttempts {
		err := b.ReadAll(r)
		if !errors.Is(err, ErrFull) || !makeRoom() {
			return err
		}
		for used, end := b.budget.Used(), time.Now().Add(roomWait); b.budget.Used() >= used && time.Now().Before(end); {
			time.Sleep(roomCheckPeriod)
		}
	}
	return b.ReadAll(r)
}

// expectEOF returns ErrTooLarge unless r is at its end.
func (b *Buffer) expectEOF(r io.Reader) error {
	var one [1]byte
	_, err := io.ReadFull(r, one[:])
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, b.limit)
	}
	return err
}

// Reset empties the buffer and keeps its room.
func (b *Buffer) Reset() { b.bytes = b.bytes[:0] }

// Release empties the buffer and returns what it holds to the budget.
func (b *Buffer) Release() {
	b.budget.Return(b.taken)
	b.bytes, b.taken = nil, 0
}
