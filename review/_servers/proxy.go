package main

import (
	"net"
	"sync"
)

// proxy forwards connections to a target, except while it is cut: then it holds all bytes,
// as a partition does. It is safe for concurrent use.
type proxy struct {
	address, target string

	mu sync.Mutex // guards the field below
	// healed is closed while the proxy is not cut.
	healed chan struct{}
}

// newProxy serves a proxy on a free port.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// cut holds all bytes from now on.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

// heal forwards bytes again.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

// wait returns once the proxy is not cut.
func (p *proxy) wait() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *proxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	p.wait()
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			p.wait()
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(t, c)
	go pipe(c, t)
	<-done
}
