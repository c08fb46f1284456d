package standin

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/valyala/fasthttp"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Slots is the number of requests that run concurrently.
	Slots int `json:"slots"`
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int `json:"blocks"`
	// PrefillPerToken is the time to compute a prompt token that is not cached.
	// DecodePerToken is the time to generate a token.
	PrefillPerToken time.Duration `json:"prefill"`
	DecodePerToken  time.Duration `json:"decode"`
	// WeightLoadTime is the time to load weights, if the store is not overloaded.
	WeightLoadTime time.Duration `json:"load"`
	// SupportsFencing rejects orders with a lower fencing number than an earlier one.
	SupportsFencing bool `json:"fenced"`
	Seed            uint64
	// ComputedBlocks, if not nil, records the blocks that the engine computes. It can be
	// shared by several engines.
	ComputedBlocks *ComputedBlocks `json:"-"`
}

// EngineFaults are the faults injected into an Engine. Fractions are of requests.
type EngineFaults struct {
	// FailFraction is answered with a server error.
	FailFraction float64 `json:"fail"`
	// EmptyFraction is answered with an empty body or stream.
	EmptyFraction float64 `json:"empty"`
	// CutFraction has the stream cut off within an event.
	CutFraction float64 `json:"cut"`
	// ForeignEventFraction has an event of another request in its stream.
	ForeignEventFraction float64 `json:"cross"`
	// RepeatFraction has an event twice in its stream. SkipFraction lacks one.
	RepeatFraction float64 `json:"repeat"`
	SkipFraction   float64 `json:"skip"`
	// RefuseResume refuses to resume streams.
	RefuseResume bool `json:"forget"`
	// DelayMillis delays every completion.
	DelayMillis int `json:"stall"`
	// Hang sends nothing at all, like a frozen or unreachable engine.
	Hang bool `json:"hang"`
}

// EngineCounts is the state of an Engine and what it has done.
type EngineCounts struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	// Calls counts the requests that arrived, Requests those that started to run.
	Calls         int     `json:"calls"`
	Requests      int     `json:"requests"`
	PromptTokens  int     `json:"prompt"`
	CachedTokens  int     `json:"cached"`
	EvictedBlocks int     `json:"evicted"`
	Running       int     `json:"running"`
	Orders        []Order `json:"orders"`
	RefusedOrders []Order `json:"refused"`
	// InvalidReuses lists reuses of cached blocks under another salt, version or
	// incarnation than they were computed under. It must stay empty.
	InvalidReuses []string `json:"reuse"`
	// SecretLeaks lists the ids of requests that contained CanarySecret.
	SecretLeaks []string `json:"leaks"`
	// Starts lists the requests that started to run, up to maxRecordedStarts.
	Starts []EngineStart `json:"starts"`
}

// EngineStart records the start of a request on an engine.
type EngineStart struct {
	RequestID string `json:"request"`
	Salt      string `json:"salt"`
	// StartedMicros is when the request started to run and ArrivedMicros when it arrived,
	// in microseconds since the Unix epoch.
	StartedMicros int64 `json:"at"`
	ArrivedMicros int64 `json:"came"`
	Tokens        int   `json:"tokens"`
}

// Order is a command to an engine to load weights.
type Order struct {
	Kind    string `json:"kind"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// CanarySecret marks text that must never reach a backend server.
const CanarySecret = "mr-planted-"

// block is a cached block and the conditions under which it was computed.
type block struct {
	hash        prefix.Hash
	salt        string
	version     string
	incarnation string
}

// Engine is a stand-in for a model engine.
type Engine struct {
	*server
	options EngineOptions
	store   *WeightStore

	mu            sync.Mutex // guards the fields below
	faults        EngineFaults
	incarnation   string
	version       string
	fence         uint64
	loading       bool
	cache         map[prefix.Hash]*list.Element
	recency       *list.List
	running       int
	waiting       waitQueue
	prefillFreeAt time.Time
	// resumable holds the requests whose streams can be resumed, and resumableOrder their
	// ids from the oldest.
	resumable      map[string]int
	resumableOrder []string
	counts         EngineCounts
	random         *rand.Rand
}

// maxResumable bounds the requests whose streams can be resumed.
const maxResumable = 4096

const maxRecordedStarts = 100_000

// ComputedBlocks records all blocks that a set of engines has ever computed.
type ComputedBlocks struct {
	mu     sync.Mutex // guards the fields below
	blocks map[prefix.Hash]bool
	wasted int
}

// NewComputedBlocks returns an empty record.
func NewComputedBlocks() *ComputedBlocks { return &ComputedBlocks{blocks: make(map[prefix.Hash]bool)} }

// RecomputedTokens returns the number of tokens that an engine computed although some
// engine had computed them before.
func (c *ComputedBlocks) RecomputedTokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasted
}

func (c *ComputedBlocks) add(h prefix.Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks[h] {
		c.wasted += prefix.BlockTokens
	}
	c.blocks[h] = true
}

// WeightStore is the store that engines load weights from. Loads take longer while
// more than two run concurrently.
type WeightStore struct {
	mu         sync.Mutex // guards the fields below
	loading    int
	maxLoading int
}

// MaxConcurrentLoads returns the highest number of concurrent loads so far.
func (w *WeightStore) MaxConcurrentLoads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxLoading
}

func (w *WeightStore) add(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading += n
	w.maxLoading = max(w.maxLoading, w.loading)
	return w.loading
}

// NewEngine starts an engine at an address. If store is nil, the engine has a store
// of its own.
func NewEngine(address string, o EngineOptions, store *WeightStore) (*Engine, error) {
	if store == nil {
		store = &WeightStore{}
	}
	e := &Engine{
		options: o,
		store:   store,
		version: o.Version,
		random:  rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(o.Name))),
	}
	e.reset()
	s, err := listen(address, e.handle)
	if err != nil {
		return nil, err
	}
	e.server = s
	return e, nil
}

// Restart resets the engine's incarnation, cache, fencing number and resumable streams,
// as a crash would. The weights stay.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

func (e *Engine) reset() {
	e.incarnation = fmt.Sprintf("%s-%x", e.options.Name, e.random.Uint64())
	e.cache = make(map[prefix.Hash]*list.Element)
	e.recency = list.New()
	e.resumable = make(map[string]int)
	e.resumableOrder = nil
	e.fence = 0
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns the engine's state and what it has done.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Incarnation = e.incarnation
	c.Version = e.version
	c.Running = e.running
	c.Starts = append([]EngineStart(nil), c.Starts...)
	return c
}

// CachedPrefixBlocks returns how many blocks from the beginning of a prompt are cached.
func (e *Engine) CachedPrefixBlocks(p prefix.Prompt) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, h := range p.Chain() {
		if _, ok := e.cache[h]; !ok {
			return n
		}
	}
	return len(p.Chain())
}

const hangPollInterval = 20 * time.Millisecond

// waitWhileHanging blocks while the Hang fault is set.
func (e *Engine) waitWhileHanging() {
	for {
		e.mu.Lock()
		hangs := e.faults.Hang
		e.mu.Unlock()
		if !hangs {
			return
		}
		time.Sleep(hangPollInterval)
	}
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if !strings.HasPrefix(string(ctx.Path()), "/control/") {
		e.waitWhileHanging()
	}
	switch string(ctx.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.handleCompletion(ctx)
	case "/v1/orders":
		e.handleOrder(ctx)
	case "/v1/load":
		c := e.Counts()
		writeJSON(ctx, fasthttp.StatusOK, EngineCounts{Incarnation: c.Incarnation, Version: c.Version, Running: c.Running})
	case "/control/counts":
		writeJSON(ctx, fasthttp.StatusOK, e.Counts())
	case "/control/faults":
		var f EngineFaults
		if decodeBody(ctx, &f) {
			e.SetFaults(f)
		}
	case "/control/restart":
		e.Restart()
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// handleOrder starts to load weights, unless another load is in progress or the
// order's fencing number is too low.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if !decodeBody(ctx, &o) {
		return
	}
	e.mu.Lock()
	if e.loading || (e.options.SupportsFencing && o.Fence < e.fence) {
		e.counts.RefusedOrders = append(e.counts.RefusedOrders, o)
		e.mu.Unlock()
		writeJSON(ctx, fasthttp.StatusConflict, o)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.counts.Orders = append(e.counts.Orders, o)
	e.loading = true
	e.mu.Unlock()
	go e.loadWeights(o.Version)
	writeJSON(ctx, fasthttp.StatusAccepted, o)
}

func (e *Engine) loadWeights(version string) {
	concurrent := e.store.add(1)
	time.Sleep(e.options.WeightLoadTime * time.Duration(max(1, concurrent-1)))
	e.store.add(-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
	e.loading = false
	e.cache = make(map[prefix.Hash]*list.Element)
	e.recency = list.New()
}

// chance reports true with probability p.
func (e *Engine) chance(p float64) bool { return p > 0 && e.random.Float64() < p }

// lookUp returns the number of tokens in cached blocks from the beginning of a prompt,
// and adds the prompt's other blocks to the cache.
func (e *Engine) lookUp(p prefix.Prompt, salt string) int {
	found := 0
	hit := true
	for _, h := range p.Chain() {
		el, ok := e.cache[h]
		if !ok {
			hit = false
			e.insert(block{hash: h, salt: salt, version: e.version, incarnation: e.incarnation})
			continue
		}
		e.recency.MoveToFront(el)
		if hit {
			found++
			e.checkReuse(el.Value.(block), salt)
		}
	}
	return found * prefix.BlockTokens
}

func (e *Engine) insert(b block) {
	if e.options.ComputedBlocks != nil {
		e.options.ComputedBlocks.add(b.hash)
	}
	e.cache[b.hash] = e.recency.PushFront(b)
	if e.recency.Len() > e.options.CacheBlocks {
		last := e.recency.Back()
		e.recency.Remove(last)
		delete(e.cache, last.Value.(block).hash)
		e.counts.EvictedBlocks++
	}
}

// checkReuse records a reuse across salts, versions or incarnations.
func (e *Engine) checkReuse(b block, salt string) {
	if b.salt != salt || b.version != e.version || b.incarnation != e.incarnation {
		e.counts.InvalidReuses = append(e.counts.InvalidReuses, fmt.Sprintf("%s/%s/%s for %s", b.salt, b.version, b.incarnation, salt))
	}
}

// recordLeak records a request that contains CanarySecret.
func (e *Engine) recordLeak(ctx *fasthttp.RequestCtx) {
	if strings.Contains(ctx.Request.String(), CanarySecret) {
		e.counts.SecretLeaks = append(e.counts.SecretLeaks, string(ctx.Request.Header.Peek(answer.HeaderRequestID)))
	}
}

// TokenText returns the text of the generated token at index i.
func TokenText(textSeed uint64, version string, i int) string {
	h := xxhash.Sum64String(version + "/" + strconv.FormatUint(textSeed, 36) + "/" + strconv.Itoa(i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// tokenTextBytes is the length of every TokenText.
const tokenTextBytes = 6

// ExpectedText returns the text that every engine with these weights generates for
// these prompt messages.
func ExpectedText(messages []string, version string, tokens int) string {
	base := textSeedOf(messages)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(TokenText(base, version, i))
	}
	return text.String()
}

func textSeedOf(messages []string) uint64 { return xxhash.Sum64String(strings.Join(messages, "\x00")) }
