package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case. Those of the cut and of the engine follow the pages.
const (
	cutLength = 5500 * time.Millisecond
	// leavesAfterCut is when the engine leaves, after the end of the cut.
	leavesAfterCut = 1500 * time.Millisecond
	drainBound     = 2000 * time.Millisecond
	contactTime    = 3000 * time.Millisecond
	// lingers is how long after drainBound the engine ends.
	lingers = 500 * time.Millisecond
)

// playLeaving cuts the two processes of a zone off from the store. After the cut, an engine
// that reports no draining leaves: its entry is removed. The rule DRAIN is broken if a
// request reaches the engine later than drain_ms after that, from a process that has been
// in touch for contact_ms.
func playLeaving(r *record, trouble bool) (broken bool, err error) {
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
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, failed, refused atomic.Int64
	for i := range 16 {
		callers.Go(func() { bookUntil(stop, d, r, i, &served, &failed, &refused) })
	}
	time.Sleep(time.Second)
	if trouble {
		r.add("both processes are cut off from the store for %s", cutLength)
		link.cut()
		time.Sleep(cutLength)
		link.heal()
	}
	healed := time.Now()
	r.add("the cut has ended")
	time.Sleep(leavesAfterCut)
	// The engine that takes its place starts first.
	if _, err := newEngine(&engine{id: "i-app-4", service: plainService, zone: "a", store: d.store, record: r, firstAfter: 60 * time.Millisecond, quiet: true}); err != nil {
		return false, err
	}
	leaver := engines[len(engines)-1]
	leaver.leave()
	left := time.Now()
	r.add("the store acknowledges that %s is gone", leaver.id)
	time.Sleep(drainBound + lingers)
	leaver.end()
	r.add("%s ends, %s after it left", leaver.id, time.Since(left))
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	late, cut := 0, 0
	for _, x := range leaver.ran() {
		if x.at.Sub(left) <= drainBound || x.at.Sub(healed) <= contactTime {
			continue
		}
		late++
		if !x.answered {
			cut++
		}
		r.add("%s reached %s %d ms after it had left (bound %d ms); answered: %v", x.id, leaver.id, x.at.Sub(left).Milliseconds(), drainBound.Milliseconds(), x.answered)
	}
	r.add("bookings: %d served, %d failed or without an answer, %d refused", served.Load(), failed.Load(), refused.Load())
	r.add("%d bookings reached %s too late; %d of them were cut off by its end", late, leaver.id, cut)
	return late > 0, nil
}

// bookUntil sends bookings on a connection until stop is closed.
func bookUntil(stop chan struct{}, d *deployment, r *record, i int, served, failed, refused *atomic.Int64) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(d.gateways[i%len(d.gateways)].client); err != nil {
				continue
			}
		}
		q := request{method: "POST", path: "/book/1", id: fmt.Sprintf("book-%d-%d", i, n), body: "booking", header: map[string]string{"Authorization": "Bearer key-crew", "Deadline-Ms": "1500"}}
		a := c.do(q, 2*time.Second)
		switch {
		case a.err == nil && a.status == 200:
			served.Add(1)
		case a.status == 503 || a.status == 429:
			refused.Add(1)
		default:
			failed.Add(1)
			r.add("%s: %v", q.id, a)
		}
		if a.err != nil || a.closes {
			_ = c.conn.Close()
			c = nil
		}
	}
}
