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

// completion is the part of a request that the stand-in understands.
type completion struct {
	Model    string           `json:"model"`
	Messages []answer.Message `json:"messages"`
	Prompt   string           `json:"prompt"`
	Max      int              `json:"max_tokens"`
	Stream   bool             `json:"stream"`
	Salt     string           `json:"cache_salt"`
	Priority int              `json:"priority"`
	// Continue asks to go on from the last message.
	Continue bool `json:"continue_final_message"`
}

// job is one request as it runs.
type job struct {
	id   string
	chat bool
	ask  completion
	came time.Time
	base uint64
	// shift is the number of tokens that a continued answer begins with,
	// from the event that a resumed stream begins with.
	shift    int
	from     int
	prompt   int
	cached   int
	version  string
	incarn   string
	resumed  bool
	cutAt    int
	crossAt  int
	repeatAt int
	skipAt   int
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	serial   int
	ready    chan struct{}
}

// waitQueue is a heap of waiters, lowest priority value first.
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

func (e *Engine) enter(priority int) {
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

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting.Len() > 0 {
		close(heap.Pop(&e.waiting).(*waiter).ready)
		return
	}
	e.running--
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var ask completion
	if !accept(ctx, &ask) {
		return
	}
	j := job{
		id:   string(ctx.Request.Header.Peek(answer.HeaderRequest)),
		chat: string(ctx.Path()) == "/v1/chat/completions",
		ask:  ask,
		came: time.Now(),
	}
	e.mu.Lock()
	e.leak(ctx)
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
	e.enter(ask.Priority)
	if !e.begin(ctx, &j, faults) {
		e.leave()
		ctx.Error(`{"error":{"message":"cannot resume"}}`, fasthttp.StatusConflict)
		return
	}
	ctx.Response.Header.Set(answer.HeaderIncarnation, j.incarn)
	ctx.Response.Header.Set(answer.HeaderVersion, j.version)
	ctx.Response.Header.Set(answer.HeaderRequest, j.id)
	e.mu.Lock()
	ctx.Response.Header.Set(answer.HeaderLoad, strconv.Itoa(e.running+e.waiting.Len()))
	e.mu.Unlock()
	if !ask.Stream {
		defer e.leave()
		e.whole(ctx, j, empty)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.leave()
		if empty {
			return
		}
		e.prefill(j)
		e.stream(w, j)
	})
}

// begin fixes what the request will do and reports false when it asks to
// resume what is not known.
func (e *Engine) begin(ctx *fasthttp.RequestCtx, j *job, faults EngineFaults) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.version, j.incarn = e.version, e.incarnation
	parts := j.parts()
	if j.ask.Continue {
		parts, j.shift = j.begun(parts)
	}
	j.base = baseOf(parts)
	if resume := ctx.Request.Header.Peek(answer.HeaderResume); len(resume) > 0 {
		n, err := strconv.Atoi(string(resume))
		if _, known := e.known[j.id]; err != nil || !known || faults.RefuseResume {
			return false
		}
		j.from, j.resumed = n, true
		return true
	}
	p := prefix.NewPrompt(j.ask.Salt, parts)
	j.prompt = (p.Bytes() + 3) / 4
	j.cached = e.reuse(p, j.ask.Salt)
	e.remember(j)
	e.draw(j, faults)
	return true
}

// generated matches words at the end of a text.
var generated = regexp.MustCompile(`(w[0-9a-f]{4} )+$`)

// begun takes generated text off the end of a prompt and counts its words.
func (j *job) begun(parts []string) ([]string, int) {
	last := parts[len(parts)-1]
	if j.chat {
		return parts[:len(parts)-1], len(last) / wordLength
	}
	sent := generated.FindString(last)
	return []string{strings.TrimSuffix(last, sent)}, len(sent) / wordLength
}

func (j *job) parts() []string {
	if !j.chat {
		return []string{j.ask.Prompt}
	}
	parts := make([]string, len(j.ask.Messages))
	for i, m := range j.ask.Messages {
		parts[i] = m.Text()
	}
	return parts
}

func (e *Engine) remember(j *job) {
	e.counts.Requests++
	e.counts.PromptTokens += j.prompt
	e.counts.CachedTokens += j.cached
	if len(e.counts.Starts) < startsLimit {
		e.counts.Starts = append(e.counts.Starts, EngineStart{
			RequestID: j.id, Salt: j.ask.Salt, StartedMicros: time.Now().UnixMicro(), ArrivedMicros: j.came.UnixMicro(),
			Tokens: j.prompt + j.ask.Max,
		})
	}
	e.known[j.id] = j.ask.Max
	e.knownOrder = append(e.knownOrder, j.id)
	if len(e.knownOrder) > knownLimit {
		delete(e.known, e.knownOrder[0])
		e.knownOrder = e.knownOrder[1:]
	}
}

// draw decides the faults of one stream; zero is never.
func (e *Engine) draw(j *job, f EngineFaults) {
	at := func(p float64) int {
		if !e.chance(p) || j.ask.Max < 2 {
			return 0
		}
		return 1 + e.random.IntN(j.ask.Max-1)
	}
	j.cutAt, j.crossAt = at(f.CutFraction), at(f.ForeignEventFraction)
	j.repeatAt, j.skipAt = at(f.RepeatFraction), at(f.SkipFraction)
}

// prefill waits until the prompt's missing tokens are computed, one request
// after the other.
func (e *Engine) prefill(j job) {
	if j.resumed {
		return
	}
	e.mu.Lock()
	cost := time.Duration(j.prompt-j.cached) * e.options.PrefillPerToken
	start := time.Now()
	if e.prefillFree.After(start) {
		start = e.prefillFree
	}
	e.prefillFree = start.Add(cost)
	until := e.prefillFree
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (e *Engine) whole(ctx *fasthttp.RequestCtx, j job, empty bool) {
	if empty {
		ctx.SetContentType("application/json")
		return
	}
	e.prefill(j)
	time.Sleep(time.Duration(j.ask.Max) * e.options.DecodePerToken)
	text := ""
	for i := j.shift; i < j.shift+j.ask.Max; i++ {
		text += TokenText(j.base, j.version, i)
	}
	c := e.chunk(j, text, true, false)
	c.Usage = j.usage(j.ask.Max)
	reply(ctx, fasthttp.StatusOK, c)
}

func (j job) usage(made int) *answer.Usage {
	return &answer.Usage{
		PromptTokens: j.prompt, CompletionTokens: made, TotalTokens: j.prompt + made,
		Details: answer.PromptDetails{CachedTokens: j.cached},
	}
}

func (e *Engine) chunk(j job, text string, last, stream bool) answer.Chunk {
	c := answer.Chunk{ID: j.id, Model: j.ask.Model, Created: time.Now().Unix()}
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

// stream writes one event for each token, then the usage, then the end.
// Event indexes of a resumed stream go on from where it broke.
func (e *Engine) stream(w *bufio.Writer, j job) {
	end := j.ask.Max
	for i := j.from; i < end; i++ {
		if j.cutAt > 0 && i == j.cutAt {
			panicCut(w)
			return
		}
		e.hang()
		time.Sleep(e.options.DecodePerToken)
		if e.gone(j) {
			panicCut(w)
			return
		}
		text := TokenText(j.base, j.version, i+j.shift)
		if j.crossAt > 0 && i == j.crossAt {
			_ = e.event(w, answer.EventID{Request: "foreign", Index: i}, e.chunk(j, "foreign ", false, true))
		}
		if j.skipAt > 0 && i == j.skipAt {
			continue
		}
		id := answer.EventID{Request: j.id, Index: i}
		c := e.chunk(j, text, i == end-1, true)
		if e.event(w, id, c) != nil {
			return
		}
		if j.repeatAt > 0 && i == j.repeatAt {
			_ = e.event(w, id, c)
		}
	}
	c := e.chunk(j, "", false, true)
	c.Choices = []answer.Choice{}
	c.Usage = j.usage(end)
	_ = e.event(w, answer.EventID{Request: j.id, Index: end}, c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", answer.Done)
	_ = w.Flush()
}

// gone reports whether the engine was restarted under a running stream.
func (e *Engine) gone(j job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation != j.incarn
}

// panicCut ends the stream in the middle of an event, as a crash would.
func panicCut(w *bufio.Writer) {
	_, _ = w.WriteString("data: {\"id\":")
	_ = w.Flush()
}

func (e *Engine) event(w *bufio.Writer, id answer.EventID, c answer.Chunk) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "id: %s\ndata: %s\n\n", id, raw); err != nil {
		return err
	}
	return w.Flush()
}

// Backlog returns the requests on the engine and the prefill that waits, in
// tokens.
func (e *Engine) Backlog() (requests, backlog int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := time.Until(e.prefillFree); left > 0 && e.options.PrefillPerToken > 0 {
		backlog = int(left / e.options.PrefillPerToken)
	}
	return e.running + e.waiting.Len(), backlog
}
