package gateway

import (
	"fmt"
	"io"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
)

const (
	// bufferShare is the share of the process's memory that may hold bodies and events
	// of calls. The rest holds the state of the fleet, connections and garbage.
	bufferShare = 0.15
	// defaultBufferBytes is the limit if the memory of the process is not limited.
	defaultBufferBytes = 256 << 20
)

func newBufferBudget(memoryLimitMB int) *buffer.Budget {
	limit := int64(defaultBufferBytes)
	if memoryLimitMB > 0 {
		limit = int64(bufferShare * float64(memoryLimitMB) * (1 << 20))
	}
	return buffer.NewBudget(limit)
}

// ReadBody reads the body of a caller's request of at most limit bytes. The caller of
// ReadBody must call release when the call has ended. The error is buffer.ErrTooLarge,
// buffer.ErrFull, or that of r.
func (g *Gateway) ReadBody(r io.Reader, limit int) (body []byte, release func(), err error) {
	b := buffer.New(g.buffers, limit)
	if err := b.ReadAll(r); err != nil {
		b.Release()
		return nil, nil, fmt.Errorf("gateway: request body: %w", err)
	}
	return b.Bytes(), b.Release, nil
}
