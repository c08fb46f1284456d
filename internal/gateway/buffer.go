package gateway

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"

	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

const (
	// bufferShare is the share of the process's memory that may hold bodies and events
	// of calls. The rest holds the state of the fleet, connections and garbage.
	bufferShare = 0.15
	// defaultBufferBytes is the limit if the memory of the process is not limited.
	defaultBufferBytes = 256 << 20
	// maxGarbageShare is the part of the limit that may be made anew between two garbage
	// collections.
	maxGarbageShare = 0.5
	// minBufferBytes is the size at which a buffer starts to count. Smaller ones are
	// bounded by the number of connections.
	minBufferBytes = 8 << 10
)

// ErrBuffersFull means that the calls in progress hold as many bytes as they may
// together.
var ErrBuffersFull = errors.New("buffers of the calls in progress are full")

// bufferBudget bounds the bytes that all calls in progress hold together, and the garbage
// of buffers that are no longer held. It is safe for concurrent use.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
	// made is the size of the buffers made since the last garbage collection that
	// makeRoom knows of. Beyond maxGarbageShare of limit, no buffer is made before
	// another one.
	made atomic.Int64

	mu sync.Mutex // guards the field below
	// collections is the number of garbage collections at the time of that one.
	collections uint64
}

func newBufferBudget(memoryLimitMB int) *bufferBudget {
	limit := int64(defaultBufferBytes)
	if memoryLimitMB > 0 {
		limit = int64(bufferShare * float64(memoryLimitMB) * (1 << 20))
	}
	return &bufferBudget{limit: limit}
}

func (b *bufferBudget) take(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// makeRoom collects garbage if much of the memory of former buffers may be left when n
// bytes are added. The collector runs often enough by itself unless several processors
// make buffers at once.
func (b *bufferBudget) makeRoom(n int) {
	limit := max(int64(maxGarbageShare*float64(b.limit)), int64(n))
	for b.made.Add(int64(n)) > limit {
		b.mu.Lock()
		if b.made.Load() > limit {
			if collections() == b.collections {
				runtime.GC()
			}
			b.collections = collections()
			b.made.Store(0)
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

// buffer collects the bytes of one body or event.
type buffer struct {
	budget *bufferBudget
	// limit bounds the length of bytes.
	limit int
	bytes []byte
	// taken is the part of the budget that the buffer holds.
	taken int
}

// grow makes room for n more bytes. It returns upstream.ErrTooLarge beyond the limit
// and ErrBuffersFull beyond the budget.
func (b *buffer) grow(n int) error {
	need := len(b.bytes) + n
	if need > b.limit {
		return fmt.Errorf("%w: more than %d bytes", upstream.ErrTooLarge, b.limit)
	}
	if need <= cap(b.bytes) {
		return nil
	}
	size := min(max(2*cap(b.bytes), need, minBufferBytes), b.limit)
	if size > minBufferBytes {
		if !b.budget.take(size - b.taken) {
			return ErrBuffersFull
		}
		b.taken = size
		b.budget.makeRoom(size)
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return nil
}

func (b *buffer) append(p []byte) error {
	if err := b.grow(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// readAll reads r to its end.
func (b *buffer) readAll(r io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(1); err != nil && !errors.Is(err, upstream.ErrTooLarge) {
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

// expectEOF returns upstream.ErrTooLarge unless r is at its end.
func (b *buffer) expectEOF(r io.Reader) error {
	var one [1]byte
	_, err := io.ReadFull(r, one[:])
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return fmt.Errorf("%w: more than %d bytes", upstream.ErrTooLarge, b.limit)
	}
	return err
}

// reset empties the buffer and keeps its room.
func (b *buffer) reset() { b.bytes = b.bytes[:0] }

// release returns what the buffer holds to the budget.
func (b *buffer) release() {
	b.budget.used.Add(-int64(b.taken))
	b.bytes, b.taken = nil, 0
}

// ReadBody reads the body of a caller's request of at most limit bytes. The caller of
// ReadBody must call release when the call has ended. The error is
// upstream.ErrTooLarge, ErrBuffersFull, or that of r.
func (g *Gateway) ReadBody(r io.Reader, limit int) (body []byte, release func(), err error) {
	b := &buffer{budget: g.buffers, limit: limit}
	if err := b.readAll(r); err != nil {
		b.release()
		return nil, nil, fmt.Errorf("gateway: request body: %w", err)
	}
	return b.bytes, b.release, nil
}
