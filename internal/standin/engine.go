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

// EngineOptions shape an Engine.
type EngineOptions struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// CacheBlocks is the size of the prefix cache.
	CacheBlocks int `json:"blocks"`
	// PrefillPerToken is the time for one missing token, Decode that between tokens.
	PrefillPerToken time.Duration `json:"prefill"`
	DecodePerToken  time.Duration `json:"decode"`
	// WeightLoadTime is the time that new weights take.
	WeightLoadTime time.Duration `json:"load"`
	// SupportsFencing refuses orders with an old fencing number.
	SupportsFencing bool `json:"fenced"`
	Seed            uint64
	// ComputedBlocks, if not nil, records what this and other engines compute.
	ComputedBlocks *ComputedBlocks `json:"-"`
}

// EngineFaults are the switches of an Engine. Fractions are of requests.
type EngineFaults struct {
	// FailFraction answers with a server error.
	FailFraction float64 `json:"fail"`
	// EmptyFraction answers with an empty stream.
	EmptyFraction float64 `json:"empty"`
	// CutFraction breaks the connection in the middle of a stream.
	CutFraction float64 `json:"cut"`
	// ForeignEventFraction sends a chunk of another request in a stream.
	ForeignEventFraction float64 `json:"cross"`
	// RepeatFraction sends a chunk twice, Skip leaves one out.
	RepeatFraction float64 `json:"repeat"`
	SkipFraction   float64 `json:"skip"`
	// RefuseResume refuses to resume streams.
	RefuseResume bool `json:"forget"`
	// DelayMillis holds every answer back, in milliseconds.
	DelayMillis int `json:"stall"`
	// Hang answers nothing at all, as a frozen or unreachable engine.
	Hang bool `json:"hang"`
}

// EngineCounts is what an Engine has done.
type EngineCounts struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	// Calls counts what arrived, Requests what began to run.
	Calls         int     `json:"calls"`
	Requests      int     `json:"requests"`
	PromptTokens  int     `json:"prompt"`
	CachedTokens  int     `json:"cached"`
	EvictedBlocks int     `json:"evicted"`
	Running       int     `json:"running"`
	Orders        []Order `json:"orders"`
	RefusedOrders []Order `json:"refused"`
	// InvalidReuses lists cached blocks that were reused under another salt,
	// version or incarnation than they were made; it must stay empty.
	InvalidReuses []string `json:"reuse"`
	// SecretLeaks lists requests in which the planted secret was seen.
	SecretLeaks []string `json:"leaks"`
	// Starts lists what ran for which salt, and when.
	Starts []EngineStart `json:"starts"`
}

// EngineStart is one request as the engine saw it.
type EngineStart struct {
	RequestID string `json:"request"`
	Salt      string `json:"salt"`
	// StartedMicros is when it began to run, Came when it arrived, in microseconds
	// since the Unix epoch.
	StartedMicros int64 `json:"at"`
	ArrivedMicros int64 `json:"came"`
	Tokens        int   `json:"tokens"`
}

// Order is a command to an engine.
type Order struct {
	Kind    string `json:"kind"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// CanarySecret marks text that must never reach a backend server.
const CanarySecret = "mr-planted-"

// block is one cached block with the terms it was made under.
type block struct {
	hash        prefix.Hash
	salt        string
	version     string
	incarnation string
}

// Engine stands in for a model engine.
type Engine struct {
	*server
	options EngineOptions
	store   *WeightStore

	mu          sync.Mutex // guards the fields below
	faults      EngineFaults
	incarnation string
	version     string
	fence       uint64
	loading     bool
	cache       map[prefix.Hash]*list.Element
	used        *list.List
	running     int
	waiting     waitQueue
	prefillFree time.Time
	known       map[string]int
	knownOrder  []string
	counts      EngineCounts
	random      *rand.Rand
}

// knownLimit bounds the requests whose streams can be resumed.
const knownLimit = 4096

// startsLimit bounds the recorded starts.
const startsLimit = 100_000

// ComputedBlocks is the record, shared by engines, of all blocks ever computed.
type ComputedBlocks struct {
	mu     sync.Mutex // guards the fields below
	blocks map[prefix.Hash]bool
	wasted int
}

// NewComputedBlocks returns an empty record.
func NewComputedBlocks() *ComputedBlocks { return &ComputedBlocks{blocks: make(map[prefix.Hash]bool)} }

// RecomputedTokens returns the tokens that were computed although some engine had
// computed them before.
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

// WeightStore is the store that engines load weights from; it slows down
// while more than two load at once.
type WeightStore struct {
	mu      sync.Mutex // guards the fields below
	loading int
	most    int
}

// MaxConcurrentLoads returns the highest number of loads seen at once.
func (w *WeightStore) MaxConcurrentLoads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

func (w *WeightStore) add(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading += n
	w.most = max(w.most, w.loading)
	return w.loading
}

// NewEngine starts an engine at an address. A nil store gives it its own.
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

// Restart empties the engine as after a crash.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

func (e *Engine) reset() {
	e.incarnation = fmt.Sprintf("%s-%x", e.options.Name, e.random.Uint64())
	e.cache = make(map[prefix.Hash]*list.Element)
	e.used = list.New()
	e.known = make(map[string]int)
	e.knownOrder = nil
	e.fence = 0
}

// SetFaults changes the switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns what the engine has done.
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

// CachedPrefixBlocks returns how many opening blocks of a prompt are cached now.
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

// hangPeriod is how often a hanging engine looks whether it still does.
const hangPeriod = 20 * time.Millisecond

// hang waits while the engine hangs.
func (e *Engine) hang() {
	for {
		e.mu.Lock()
		hangs := e.faults.Hang
		e.mu.Unlock()
		if !hangs {
			return
		}
		time.Sleep(hangPeriod)
	}
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if !strings.HasPrefix(string(ctx.Path()), "/control/") {
		e.hang()
	}
	switch string(ctx.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.complete(ctx)
	case "/v1/orders":
		e.order(ctx)
	case "/v1/load":
		c := e.Counts()
		reply(ctx, fasthttp.StatusOK, EngineCounts{Incarnation: c.Incarnation, Version: c.Version, Running: c.Running})
	case "/control/counts":
		reply(ctx, fasthttp.StatusOK, e.Counts())
	case "/control/faults":
		var f EngineFaults
		if accept(ctx, &f) {
			e.SetFaults(f)
		}
	case "/control/restart":
		e.Restart()
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// order obeys or refuses a command.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var o Order
	if !accept(ctx, &o) {
		return
	}
	e.mu.Lock()
	if e.loading || (e.options.SupportsFencing && o.Fence < e.fence) {
		e.counts.RefusedOrders = append(e.counts.RefusedOrders, o)
		e.mu.Unlock()
		reply(ctx, fasthttp.StatusConflict, o)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.counts.Orders = append(e.counts.Orders, o)
	e.loading = true
	e.mu.Unlock()
	go e.load(o.Version)
	reply(ctx, fasthttp.StatusAccepted, o)
}

func (e *Engine) load(version string) {
	atOnce := e.store.add(1)
	time.Sleep(e.options.WeightLoadTime * time.Duration(max(1, atOnce-1)))
	e.store.add(-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
	e.loading = false
	e.cache = make(map[prefix.Hash]*list.Element)
	e.used = list.New()
}

// chance draws one switch.
func (e *Engine) chance(p float64) bool { return p > 0 && e.random.Float64() < p }

// reuse looks a prompt up, records it as cached, and returns the tokens found.
func (e *Engine) reuse(p prefix.Prompt, salt string) int {
	found := 0
	hit := true
	for _, h := range p.Chain() {
		el, ok := e.cache[h]
		if !ok {
			hit = false
			e.insert(block{hash: h, salt: salt, version: e.version, incarnation: e.incarnation})
			continue
		}
		e.used.MoveToFront(el)
		if hit {
			found++
			e.inspect(el.Value.(block), salt)
		}
	}
	return found * prefix.BlockTokens
}

func (e *Engine) insert(b block) {
	if e.options.ComputedBlocks != nil {
		e.options.ComputedBlocks.add(b.hash)
	}
	e.cache[b.hash] = e.used.PushFront(b)
	if e.used.Len() > e.options.CacheBlocks {
		last := e.used.Back()
		e.used.Remove(last)
		delete(e.cache, last.Value.(block).hash)
		e.counts.EvictedBlocks++
	}
}

// inspect records a reuse that crosses teams, weights or incarnations.
func (e *Engine) inspect(b block, salt string) {
	if b.salt != salt || b.version != e.version || b.incarnation != e.incarnation {
		e.counts.InvalidReuses = append(e.counts.InvalidReuses, fmt.Sprintf("%s/%s/%s for %s", b.salt, b.version, b.incarnation, salt))
	}
}

// leak records requests in which the planted secret is seen.
func (e *Engine) leak(ctx *fasthttp.RequestCtx) {
	if strings.Contains(ctx.Request.String(), CanarySecret) {
		e.counts.SecretLeaks = append(e.counts.SecretLeaks, string(ctx.Request.Header.Peek(answer.HeaderRequest)))
	}
}

// TokenText returns the text of one generated token.
func TokenText(base uint64, version string, i int) string {
	h := xxhash.Sum64String(version + "/" + strconv.FormatUint(base, 36) + "/" + strconv.Itoa(i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// wordLength is the length of every Word.
const wordLength = 6

// ExpectedText returns the whole text that every engine with the same weights
// generates for the same prompt parts.
func ExpectedText(parts []string, version string, tokens int) string {
	base := baseOf(parts)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(TokenText(base, version, i))
	}
	return text.String()
}

func baseOf(parts []string) uint64 { return xxhash.Sum64String(strings.Join(parts, "\x00")) }
