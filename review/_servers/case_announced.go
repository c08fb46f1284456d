package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// announcedAfterCut is when the engine begins to leave, after the begin of the cut.
	announcedAfterCut = 300 * time.Millisecond
	// announcedLinger is how long after drainBound the engine ends.
	announcedLinger = time.Second
)

// sending is a request of a client.
type sending struct {
	process int
	at      time.Time
}

// announced holds what clients have sent, and when each process first passed on an answer
// that says that its engine leaves. It is safe for concurrent use.
type announced struct {
	mu    sync.Mutex // guards the fields below
	sent  map[string]sending
	first map[int]time.Time
	lost  []string
}

// playAnnounced cuts the two processes of a zone off from the store. During the cut, an
// engine begins to leave: it reports draining to the store, and says so in all its answers.
// The rule DRAIN of the news is broken if a request that a client sent later than drain_ms
// after a process had passed on such an answer reaches the engine from that process.
func playAnnounced(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, tenant{name: "crew", key: "key-crew"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	link, err := newProxy(d.store.address)
	if err != nil {
		return false, err
	}
	d.storeAddress = link.address
	var engines []*engine
	for i := range 3 {
		e, err := newEngine(&engine{id: fmt.Sprintf("i-app-%d", i+1), service: plainService, zone: "a", store: d.store, record: r, firstAfter: 60 * time.Millisecond, quiet: true})
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := d.startGateways("a", "a"); err != nil {
		return false, err
	}
	a := &announced{sent: make(map[string]sending), first: make(map[int]time.Time)}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 16 {
		callers.Go(func() { a.book(stop, d, i) })
	}
	time.Sleep(time.Second)
	if trouble {
		r.add("both processes are cut off from the store for %s", cutLength)
		link.cut()
		time.AfterFunc(cutLength, link.heal)
	}
	time.Sleep(announcedAfterCut)
	// The engine that takes its place starts first.
	if _, err := newEngine(&engine{id: "i-app-4", service: plainService, zone: "a", store: d.store, record: r, firstAfter: 60 * time.Millisecond, quiet: true}); err != nil {
		return false, err
	}
	leaver := engines[len(engines)-1]
	if err := leaver.announce(); err != nil {
		return false, err
	}
	r.add("%s reports draining, and says so in its answers", leaver.id)
	time.Sleep(drainBound + announcedLinger)
	leaver.leave()
	leaver.end()
	r.add("%s ends", leaver.id)
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	late, cut := 0, 0
	for _, x := range leaver.ran() {
		s := a.sent[x.id]
		first, told := a.first[s.process]
		if !told || s.at.Sub(first) <= drainBound {
			continue
		}
		late++
		if !x.answered {
			cut++
		}
		r.add("%s was sent to %s %d ms after that had passed on Server-Leaving (bound %d ms), and reached %s; answered: %v", x.id,
			d.gateways[s.process].name, s.at.Sub(first).Milliseconds(), drainBound.Milliseconds(), leaver.id, x.answered)
	}
	for _, line := range a.lost {
		r.add("%s", line)
	}
	r.add("%d bookings reached %s too late; %d of them were cut off by its end", late, leaver.id, cut)
	return late > 0, nil
}

// book sends bookings on a connection until stop is closed.
func (a *announced) book(stop chan struct{}, d *deployment, i int) {
	process := i % len(d.gateways)
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(d.gateways[process].client); err != nil {
				continue
			}
		}
		q := request{method: "POST", path: "/book/1", id: fmt.Sprintf("book-%d-%d", i, n), body: "booking", header: map[string]string{"Authorization": "Bearer key-crew", "Deadline-Ms": "1500"}}
		a.mu.Lock()
		a.sent[q.id] = sending{process, time.Now()}
		a.mu.Unlock()
		x := c.do(q, 2*time.Second)
		a.mu.Lock()
		if _, told := a.first[process]; x.leaving && !told {
			a.first[process] = time.Now()
		}
		if x.err != nil || x.status >= 500 && x.status != 503 {
			a.lost = append(a.lost, fmt.Sprintf("%s: %v", q.id, x))
		}
		a.mu.Unlock()
		if x.err != nil || x.closes {
			_ = c.conn.Close()
			c = nil
		}
	}
}
