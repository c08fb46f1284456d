package gateway

import (
	"errors"
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/parts"
)

const (
	// bufferShare is the share of the process's memory that may hold bodies, events
	// and heads of calls. The rest holds the state of the fleet, connections and garbage.
	bufferShare = 0.2
	// defaultBufferBytes is the limit if the memory of the process is not limited.
	defaultBufferBytes = 256 << 20
	// directoryShare is the share of the process's memory that may hold what is known of
	// the caches of engines and KV cache stores.
	directoryShare = 0.1
	// defaultDirectoryBytes is that limit if the memory of the process is not limited.
	defaultDirectoryBytes = 128 << 20
)

func newDirectory(memoryLimitMB int) *parts.Directory {
	if memoryLimitMB > 0 {
		return parts.NewDirectory(int(directoryShare * float64(memoryLimitMB) * (1 << 20)))
	}
	return parts.NewDirectory(defaultDirectoryBytes)
}

func newBufferBudget(memoryLimitMB int) *buffer.Budget {
	limit := int64(defaultBufferBytes)
	if memoryLimitMB > 0 {
		limit = int64(bufferShare * float64(memoryLimitMB) * (1 << 20))
	}
	return buffer.NewBudget(limit)
}

// BodyOptions say how to read a body.
type BodyOptions struct {
	Limit int
	// Keyless is set for requests without a key. They have a share of the buffers only, so
	// that they leave some to the others.
	Keyless bool
	// MakeRoom ends the reading of another body. It reports whether there was one.
	MakeRoom func() bool
}

// ReadBody reads the body of a caller's request. The caller of ReadBody must call release
// when the call has ended. The error is buffer.ErrTooLarge, buffer.ErrFull, or that of r.
func (g *Gateway) ReadBody(r io.Reader, o BodyOptions) (body []byte, release func(), err error) {
	budget := g.buffers
	if o.Keyless {
		budget = g.publicBuffers
	}
	b := buffer.New(budget, o.Limit)
	if err := b.ReadAllMakingRoom(r, o.MakeRoom); err != nil {
		b.Release()
		if errors.Is(err, buffer.ErrFull) {
			g.recordLimit(event.BodyRefused, "bodies_out_of_memory", log.Fields{"keyless": o.Keyless})
		}
		return nil, nil, fmt.Errorf("gateway: request body: %w", err)
	}
	return b.Bytes(), b.Release, nil
}
