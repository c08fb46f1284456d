package standin

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/valyala/fasthttp"
)

// ServiceFaults are the faults injected into a Service.
type ServiceFaults struct {
	// FailAfterRun answers with a server error after the call has run.
	FailAfterRun bool `json:"fail"`
	// DropEveryRuns, if not 0, closes the connection without an answer after every run
	// whose number is a multiple of it.
	DropEveryRuns int `json:"drop"`
	// DelayMillis delays the answer after the call has run.
	DelayMillis int `json:"slow"`
}

// ServiceCounts counts the calls that a Service has run.
type ServiceCounts struct {
	// RunsByKey counts the runs by Idempotency-Key.
	RunsByKey map[string]int `json:"runs"`
	// RunsByRequest counts the runs by the request id that the router assigned.
	RunsByRequest map[string]int `json:"requests"`

	Calls       int `json:"calls"`
	SecretLeaks int `json:"leaks"`
}

// ServiceResponse is the body of a Service's answer.
type ServiceResponse struct {
	Key string `json:"key"`
	// RunNumber counts the calls that this server has run.
	RunNumber int    `json:"run"`
	Server    string `json:"server"`
}

// Service is a stand-in for a plain service whose calls must not be repeated.
type Service struct {
	*server

	mu     sync.Mutex // guards the fields below
	faults ServiceFaults
	counts ServiceCounts
}

// NewService starts a service at an address.
func NewService(address string) (*Service, error) {
	v := &Service{counts: ServiceCounts{RunsByKey: make(map[string]int), RunsByRequest: make(map[string]int)}}
	s, err := listen(address, v.handle)
	if err != nil {
		return nil, err
	}
	v.server = s
	return v, nil
}

// SetFaults replaces the injected faults.
func (v *Service) SetFaults(f ServiceFaults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// Counts returns the counts so far.
func (v *Service) Counts() ServiceCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.counts
	c.RunsByKey = maps.Clone(v.counts.RunsByKey)
	c.RunsByRequest = maps.Clone(v.counts.RunsByRequest)
	return c
}

func (v *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/control/counts":
		writeJSON(ctx, fasthttp.StatusOK, v.Counts())
	case "/control/faults":
		var f ServiceFaults
		if decodeBody(ctx, &f) {
			v.SetFaults(f)
		}
	default:
		v.handleCall(ctx)
	}
}

func (v *Service) handleCall(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(answer.HeaderIdempotencyKey))
	v.mu.Lock()
	v.counts.Calls++
	v.counts.RunsByKey[key]++
	v.counts.RunsByRequest[string(ctx.Request.Header.Peek(answer.HeaderRequestID))]++
	if strings.Contains(ctx.Request.String(), CanarySecret) {
		v.counts.SecretLeaks++
	}
	receipt := ServiceResponse{Key: key, Server: v.Address(), RunNumber: v.counts.Calls}
	faults := v.faults
	v.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if faults.DropEveryRuns > 0 && receipt.RunNumber%faults.DropEveryRuns == 0 {
		_ = ctx.Conn().Close()
		return
	}
	if faults.FailAfterRun {
		ctx.Error("failed after the run", fasthttp.StatusInternalServerError)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, receipt)
}
