package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// How the case is played.
const (
	// silenceEvents is the mean number of events of a draft in the sheet of wolkatlas-nl.
	silenceEvents = 73
	// silenceLength is "a second or so".
	silenceLength  = 1300 * time.Millisecond
	silenceAt      = 4 * time.Second
	silencePlay    = 8 * time.Second
	silencePrefill = 30 * time.Millisecond
	silencePeriod  = 30 * time.Millisecond
	// bothLimit is how long two engines may work on one request.
	bothLimit = 400 * time.Millisecond
)

// work is the work of one engine on a request.
type work struct {
	request, engine string
	// after is the last event that the client has, or empty.
	after      string
	begin, end time.Time
}

// pausingEngines stream events, and send nothing while they are silent. They go on with their
// work meanwhile.
type pausingEngines struct {
	mu       sync.Mutex // guards the fields below
	silentTo time.Time
	works    []*work
}

func (p *pausingEngines) fallSilent(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentTo = time.Now().Add(d)
}

func (p *pausingEngines) silentLeft() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.silentTo)
}

func (p *pausingEngines) begin(r *http.Request, e *engine) *work {
	w := &work{request: r.Header.Get("Request-Id"), engine: e.id, after: r.Header.Get("Last-Event-Id"), begin: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.works = append(p.works, w)
	return w
}

func (p *pausingEngines) finish(w *work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.end = time.Now()
}

// wait waits for a time and for the end of the silence. It returns false if the connection is
// closed meanwhile, upon which the engine stops its work.
func (p *pausingEngines) wait(c net.Conn, d time.Duration) bool {
	if !sleepUnlessClosed(c, d) {
		return false
	}
	for left := p.silentLeft(); left > 0; left = p.silentLeft() {
		if !sleepUnlessClosed(c, left) {
			return false
		}
	}
	return true
}

func (p *pausingEngines) answer(e *engine, c net.Conn, r *http.Request) bool {
	if !sleepUnlessClosed(c, silencePrefill) {
		return false
	}
	w := p.begin(r, e)
	defer p.finish(w)
	first := 1
	if _, err := fmt.Sscan(w.after, &first); err == nil {
		first++
	}
	if !p.wait(c, time.Millisecond) || !writeStreamHead(c, e, r) {
		return false
	}
	for i := first; i <= silenceEvents; i++ {
		if !writeEvent(c, i) || !p.wait(c, silencePeriod) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// bothWorked returns, for each request that went on at another engine, for how long the engine
// before still worked on it, if that exceeds a limit.
func (p *pausingEngines) bothWorked(limit time.Duration) (out []string, moved int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, next := range p.works {
		if next.after == "" {
			continue
		}
		moved++
		for _, before := range p.works[:i] {
			if before.request != next.request || before.engine == next.engine {
				continue
			}
			end := before.end
			if next.end.Before(end) {
				end = next.end
			}
			if both := end.Sub(next.begin); both > limit {
				out = append(out, fmt.Sprintf("request %s went on at %s after event %s, while %s still worked on it for %d ms",
					next.request, next.engine, next.after, before.engine, both.Milliseconds()))
			}
		}
	}
	return out, moved
}

// playSilence lets all engines fall silent for a moment while they stream.
func playSilence(p *play) ([]string, error) {
	engines := &pausingEngines{}
	err := p.start(atlasConfig(), 1, atlasMemoryMB, func() error {
		for i := range atlasEngines {
			if _, err := startEngine(p.store, fmt.Sprint("e", i), "taalmodel", 1, atlasSlots, engines.answer); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	answers := newTally()
	began := time.Now()
	silent := false
	for n := 0; time.Since(began) < silencePlay; n++ {
		if p.trouble && !silent && time.Since(began) > silenceAt {
			silent = true
			p.logf("the engines are silent for %s", silenceLength)
			engines.fallSilent(silenceLength)
		}
		q := request{
			id: fmt.Sprint("d", n), path: "/draft/x", prefix: fmt.Sprintf("%x:119,%x:79,%x:628", 0x200+n%8, 0x2000+n%234, 0x10000+n),
			inputTokens: 826, outputTokens: silenceEvents, bodyBytes: 1700, deadline: 15 * time.Second, patience: atlasPatience,
		}
		clients.Go(func() {
			x := ask(p.gateways[0].entry, q)
			answers.add(x)
			p.logf("request %s: %s", q.id, x)
		})
		time.Sleep(interval(atlasDraftPerSec))
	}
	clients.Wait()
	// The engines notice the last closed connections.
	time.Sleep(silencePrefill)
	for _, line := range answers.lines() {
		p.logf("answers: %s", line)
	}
	broken, moved := engines.bothWorked(bothLimit)
	for _, w := range engines.works {
		p.logf("engine %s ran request %s after event %q from %.3f s to %.3f s", w.engine, w.request, w.after, w.begin.Sub(p.began).Seconds(), w.end.Sub(p.began).Seconds())
	}
	p.logf("%d runs, %d of them went on at another engine", len(engines.works), moved)
	return broken, nil
}
