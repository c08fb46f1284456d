package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/stretchr/testify/require"
)

// eventRecorder keeps the fields of logged events by their number.
type eventRecorder struct {
	mu     sync.Mutex
	fields map[int][]log.Fields
}

func (r *eventRecorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, _ := e.Fields["event"].(int)
	r.fields[number] = append(r.fields[number], e.Fields)
	return nil
}

func (r *eventRecorder) logged(e event.Event) []log.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fields[e.Number()]
}

func TestOutcomesTellWhoEndedACall(t *testing.T) {
	silent := func(ctx context.Context, _ int, _ *Attempt) (*Response, error) {
		return pausingStream(ctx, time.Minute), nil
	}
	tests := []struct {
		name          string
		leaveAfter    time.Duration
		timeout       time.Duration
		respond       func(ctx context.Context, n int, a *Attempt) (*Response, error)
		outcome, why  string
		attemptFailed string
	}{
		{"caller left", 50 * time.Millisecond, 0, silent, "caller left", "context canceled", "context canceled"},
		{"deadline", 0, 50 * time.Millisecond, silent, "broken", "context deadline exceeded", "context deadline exceeded"},
		{"server broke off", 0, 0, func(context.Context, int, *Attempt) (*Response, error) {
			return truncatedResponse(eventStream("1")), nil
		}, "broken", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newTestGateway(t, tt.respond)
			events := &eventRecorder{fields: make(map[int][]log.Fields)}
			g.log = &log.Logger{Handler: events, Level: log.DebugLevel}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tt.leaveAfter > 0 {
				time.AfterFunc(tt.leaveAfter, cancel)
			}
			call := newCall("/stream/", "isolated-key")
			call.Timeout = tt.timeout
			g.Serve(ctx, call, &responseRecorder{})
			ended := events.logged(event.RequestEnded)
			require.Len(t, ended, 1)
			require.Equal(t, tt.outcome, ended[0]["outcome"])
			require.Contains(t, ended[0], "sincelast")
			if tt.why != "" {
				require.Equal(t, tt.why, ended[0]["why"])
			}
			failed := events.logged(event.AttemptFailed)
			require.Len(t, failed, 1)
			if tt.attemptFailed != "" {
				require.Equal(t, tt.attemptFailed, failed[0]["cause"])
			}
		})
	}
}
