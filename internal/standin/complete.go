package standin

import (
	"bufio"
	"container/heap"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/valyala/fasthttp"
)

// completionRequest holds the fields of a completion request that the stand-in uses.
type completionRequest struct {
	Model     string           `json:"model"`
	Messages  []answer.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
	CacheSalt string           `json:"cache_salt"`
	Priority  int              `json:"priority"`
	// ContinueFinalMessage asks for a continuation of the last message.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// job is a request that has been accepted.
type job struct {
	id        string
	chat      bool
	request   completionRequest
	arrivedAt time.Time
	// textSeed is the hash of the prompt. It determines the generated text, together
	// with the version.
	textSeed uint64
	// continuedTokens is the number of generated tokens that the prompt already ends
	// with.
	continuedTokens int
	// resumeIndex is the index of the first event of a resumed stream.
	resumeIndex  int
	promptTokens int
	cachedTokens int
	version      string
	incarnation  string
	resumed      bool
	// Indexes of the events at which the stream's faults occur; 0 is none.
	cutAt     int
	foreignAt int
	repeatAt  int
	skipAt    int
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	serial   int
	ready    chan struct{}
}

// waitQueue is a heap of waiters: the lowest priority value first, then in order of
// arrival.
type waitQueue struct {
	items  []*waiter
	serial int
}

func (q *waitQueue) Len() int { return len(q.items) }
func (q *waitQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.serial < b.serial
}
func (q *waitQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *waitQueue) Push(x any)    { q.items = append(q.items, x.(*waiter)) }
func (q *waitQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func (e *Engine) acquireSlot(priority int) {
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return
	}
	e.waiting.serial++
	w := &waiter{priority: priority, serial: e.waiting.serial, ready: make(chan struct{})}
	heap.Push(&e.waiting, w)
	e.mu.Unlock()
	<-w.ready
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting.Len() > 0 {
		close(heap.Pop(&e.waiting).(*waiter).ready)
		return
	}
	e.running--
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if !decodeBody(ctx, &request) {
		return
	}
	j := job{
		id:        string(ctx.Request.Header.Peek(answer.HeaderRequestID)),
		chat:      string(ctx.Path()) == "/v1/chat/completions",
		request:   request,
		arrivedAt: time.Now(),
	}
	e.mu.Lock()
	e.recordLeak(ctx)
	e.counts.Calls++
	faults := e.faults
	fail := e.chance(faults.FailFraction) || e.loading
	empty := e.chance(faults.EmptyFraction)
	e.mu.Unlock()
	if faults.DelayMillis > 0 {
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	}
	if fail {
		ctx.Error(`{"error":{"message":"engine failed"}}`, fasthttp.StatusInternalServerError)
		return
	}
	e.acquireSlot(request.Priority)
	if !e.start(ctx, &j, faults) {
		e.releaseSlot()
		ctx.Error(`{"error":{"message":"cannot resume"}}`, fasthttp.StatusConflict)
		return
	}
	ctx.Response.Header.Set(answer.HeaderIncarnation, j.incarnation)
	ctx.Response.Header.Set(answer.HeaderWeightsVersion, j.version)
	ctx.Response.Header.Set(answer.HeaderRequestID, j.id)
	e.mu.Lock()
	ctx.Response.Header.Set(answer.HeaderLoad, strconv.Itoa(e.running+e.waiting.Len()))
	e.mu.Unlock()
	if !request.Stream {
		defer e.releaseSlot()
		e.writeAnswer(ctx, j, empty)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.releaseSlot()
		if empty {
			return
		}
		e.prefill(j)
		e.writeStream(w, j)
	})
}

// start fills in the job, records its start, and draws its faults. It reports false
// if the request asks to resume a stream that the engine cannot resume.
func (e *Engine) start(ctx *fasthttp.RequestCtx, j *job, faults EngineFaults) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.version, j.incarnation = e.version, e.incarnation
	parts := j.messages()
	if j.request.ContinueFinalMessage {
		parts, j.continuedTokens = j.cutContinued(parts)
	}
	j.textSeed = textSeedOf(parts)
	if resume := ctx.Request.Header.Peek(answer.HeaderResumeIndex); len(resume) > 0 {
		n, err := strconv.Atoi(string(resume))
		if _, known := e.resumable[j.id]; err != nil || !known || faults.RefuseResume {
			return false
		}
		j.resumeIndex, j.resumed = n, true
		return true
	}
	p := prefix.NewPrompt(j.request.CacheSalt, parts)
	j.promptTokens = (p.Bytes() + 3) / 4
	j.cachedTokens = e.lookUp(p, j.request.CacheSalt)
	e.recordStart(j)
	e.drawFaults(j, faults)
	return true
}

// generatedSuffix matches generated tokens at the end of a text.
var generatedSuffix = regexp.MustCompile(`(w[0-9a-f]{4} )+$`)

// cutContinued removes generated text from the end of a prompt. It returns the rest
// and the number of tokens removed.
func (j *job) cutContinued(parts []string) ([]string, int) {
	lastMessage := parts[len(parts)-1]
	if j.chat {
		return parts[:len(parts)-1], len(lastMessage) / tokenTextBytes
	}
	suffix := generatedSuffix.FindString(lastMessage)
	return []string{strings.TrimSuffix(lastMessage, suffix)}, len(suffix) / tokenTextBytes
}

func (j *job) messages() []string {
	if !j.chat {
		return []string{j.request.Prompt}
	}
	parts := make([]string, len(j.request.Messages))
	for i, m := range j.request.Messages {
		parts[i] = m.Text()
	}
	return parts
}

func (e *Engine) recordStart(j *job) {
	e.counts.Requests++
	e.counts.PromptTokens += j.promptTokens
	e.counts.CachedTokens += j.cachedTokens
	if len(e.counts.Starts) < maxRecordedStarts {
		e.counts.Starts = append(e.counts.Starts, EngineStart{
			RequestID: j.id, Salt: j.request.CacheSalt, StartedMicros: time.Now().UnixMicro(), ArrivedMicros: j.arrivedAt.UnixMicro(),
			Tokens: j.promptTokens + j.request.MaxTokens,
		})
	}
	e.resumable[j.id] = j.request.MaxTokens
	e.resumableOrder = append(e.resumableOrder, j.id)
	if len(e.resumableOrder) > maxResumable {
		delete(e.resumable, e.resumableOrder[0])
		e.resumableOrder = e.resumableOrder[1:]
	}
}

// drawFaults draws the faults of a stream and the events at which they occur.
func (e *Engine) drawFaults(j *job, f EngineFaults) {
	at := func(p float64) int {
		if !e.chance(p) || j.request.MaxTokens < 2 {
			return 0
		}
		return 1 + e.random.IntN(j.request.MaxTokens-1)
	}
	j.cutAt, j.foreignAt = at(f.CutFraction), at(f.ForeignEventFraction)
	j.repeatAt, j.skipAt = at(f.RepeatFraction), at(f.SkipFraction)
}

// prefill waits while the prompt tokens that are not cached are computed. The prompts
// of an engine are computed one after the other.
func (e *Engine) prefill(j job) {
	if j.resumed {
		return
	}
	e.mu.Lock()
	cost := time.Duration(j.promptTokens-j.cachedTokens) * e.options.PrefillPerToken
	start := time.Now()
	if e.prefillFreeAt.After(start) {
		start = e.prefillFreeAt
	}
	e.prefillFreeAt = start.Add(cost)
	until := e.prefillFreeAt
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (e *Engine) writeAnswer(ctx *fasthttp.RequestCtx, j job, empty bool) {
	if empty {
		ctx.SetContentType("application/json")
		return
	}
	e.prefill(j)
	time.Sleep(time.Duration(j.request.MaxTokens) * e.options.DecodePerToken)
	text := ""
	for i := j.continuedTokens; i < j.continuedTokens+j.request.MaxTokens; i++ {
		text += TokenText(j.textSeed, j.version, i)
	}
	c := e.chunk(j, text, true, false)
	c.Usage = j.usage(j.request.MaxTokens)
	writeJSON(ctx, fasthttp.StatusOK, c)
}

func (j job) usage(generated int) *answer.Usage {
	return &answer.Usage{
		PromptTokens: j.promptTokens, CompletionTokens: generated, TotalTokens: j.promptTokens + generated,
		PromptDetails: answer.PromptDetails{CachedTokens: j.cachedTokens},
	}
}

func (e *Engine) chunk(j job, text string, last, stream bool) answer.Chunk {
	c := answer.Chunk{ID: j.id, Model: j.request.Model, Created: time.Now().Unix()}
	choice := answer.Choice{}
	content := &answer.Content{Role: "assistant", Content: text}
	switch {
	case !j.chat:
		c.Object, choice.Text = "text_completion", text
	case stream:
		c.Object, choice.Delta = "chat.completion.chunk", content
	default:
		c.Object, choice.Message = "chat.completion", content
	}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	c.Choices = []answer.Choice{choice}
	return c
}

// writeStream writes one event for each token, then the usage, then the final event.
// The event indexes of a resumed stream continue those of the broken one.
func (e *Engine) writeStream(w *bufio.Writer, j job) {
	end := j.request.MaxTokens
	for i := j.resumeIndex; i < end; i++ {
		if j.cutAt > 0 && i == j.cutAt {
			cutStream(w)
			return
		}
		e.waitWhileHanging()
		time.Sleep(e.options.DecodePerToken)
		if e.restartedSince(j) {
			cutStream(w)
			return
		}
		text := TokenText(j.textSeed, j.version, i+j.continuedTokens)
		if j.foreignAt > 0 && i == j.foreignAt {
			_ = e.writeEvent(w, answer.EventID{RequestID: "foreign", Index: i}, e.chunk(j, "foreign ", false, true))
		}
		if j.skipAt > 0 && i == j.skipAt {
			continue
		}
		id := answer.EventID{RequestID: j.id, Index: i}
		c := e.chunk(j, text, i == end-1, true)
		if e.writeEvent(w, id, c) != nil {
			return
		}
		if j.repeatAt > 0 && i == j.repeatAt {
			_ = e.writeEvent(w, id, c)
		}
	}
	c := e.chunk(j, "", false, true)
	c.Choices = []answer.Choice{}
	c.Usage = j.usage(end)
	_ = e.writeEvent(w, answer.EventID{RequestID: j.id, Index: end}, c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", answer.DoneMarker)
	_ = w.Flush()
}

// restartedSince reports whether the engine was restarted after the job started.
func (e *Engine) restartedSince(j job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation != j.incarnation
}

// cutStream ends the stream within an event, as a crash of the engine would.
func cutStream(w *bufio.Writer) {
	_, _ = w.WriteString("data: {\"id\":")
	_ = w.Flush()
}

func (e *Engine) writeEvent(w *bufio.Writer, id answer.EventID, c answer.Chunk) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %s\ndata: %s\n\n", id, raw); err != nil {
		return err
	}
	return w.Flush()
}

// Backlog returns the number of running and waiting requests, and the number of
// prompt tokens that are still to be prefilled.
func (e *Engine) Backlog() (requests, backlog int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := time.Until(e.prefillFreeAt); left > 0 && e.options.PrefillPerToken > 0 {
		backlog = int(left / e.options.PrefillPerToken)
	}
	return e.running + e.waiting.Len(), backlog
}
