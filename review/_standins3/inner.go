package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// How the case is played.
const (
	innerProcesses = 3
	innerRequests  = 21
	// innerGap is the time between two requests of the caller with the sound part.
	innerGap = time.Second
	// otherPerSecond is the rate of another caller.
	otherPerSecond    = 12.0
	innerDeadlyPerSec = 10.0
	innerPart         = "1bb"
	innerBegunShare   = 0.5
	// innerMaxTrouble bounds how long requests with the deadly part come.
	innerMaxTrouble = 60 * time.Second
	// innerFirstDeadlyAge is the time from the last sound request to the first deadly one.
	innerFirstDeadlyAge = 300 * time.Millisecond
)

// hasBegun reports whether an engine has begun to answer a request.
func (f *crashingFleet) hasBegun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun[id]
}

// lastOfFive returns the time of the fifth crash, or of the last one if there are fewer.
func (f *crashingFleet) lastOfFive() (time.Time, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) == 0 {
		return time.Time{}, 0
	}
	return f.crashes[min(len(f.crashes), maxCrashes)-1], len(f.crashes)
}

// playInner sends requests whose part crashes engines, with a sound part inside it.
func playInner(p *play) ([]string, error) {
	fleet := &crashingFleet{play: p, begun: make(map[string]bool), read: 50 * time.Millisecond, events: 20}
	err := p.start(atlasConfig(), innerProcesses, atlasMemoryMB, func() error {
		for i := range atlasEngines {
			if err := (&crashingEngine{fleet: fleet, slot: i}).start("127.0.0.1:0"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	var n atomic.Int64
	send := func(kind, prefix string) string {
		i := int(n.Add(1))
		q := request{
			id: fmt.Sprint(kind, i), path: "/draft/x", prefix: fmt.Sprintf("%s,%x:628", prefix, 0x10000+i),
			inputTokens: 826, outputTokens: 20, bodyBytes: 1700, deadline: 5 * time.Second, patience: atlasPatience,
		}
		if kind == "o" {
			q.key = otherAPIKey
		}
		g := p.gateways[i%len(p.gateways)]
		clients.Go(func() {
			x := ask(g.entry, q)
			if kind != "o" {
				p.logf("request %s to %s: %s", q.id, g.name, x)
			}
		})
		return q.id
	}
	done := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(interval(otherPerSecond)):
				send("o", fmt.Sprintf("%x:119,%x:79", 0x200+i%8, 0x2000+i%234))
			}
		}
	})
	sound := func() string { return send("s", "3cc:119,"+innerPart+":79") }
	var before, judged []string
	for len(before) < innerRequests {
		time.Sleep(innerGap)
		before = append(before, sound())
	}
	if p.trouble {
		time.Sleep(innerFirstDeadlyAge)
		p.logf("requests with the deadly part come from now on")
		others.Go(func() {
			for {
				send("x", deadlyPart+":119,"+innerPart+":79")
				select {
				case <-done:
					return
				case <-time.After(interval(innerDeadlyPerSec)):
				}
			}
		})
	}
	began := time.Now()
	for time.Since(began) < innerMaxTrouble && len(judged) < innerRequests {
		time.Sleep(innerGap)
		at, crashes := fleet.lastOfFive()
		inTime := !p.trouble || crashes > 0 && time.Since(at) > 2*contactTime
		if id := sound(); inTime {
			judged = append(judged, id)
		}
	}
	close(done)
	others.Wait()
	clients.Wait()
	count := func(ids []string) (begun int) {
		for _, id := range ids {
			if fleet.hasBegun(id) {
				begun++
			}
		}
		return begun
	}
	_, crashes := fleet.lastOfFive()
	b, j := count(before), count(judged)
	p.logf("%d crashes; sound requests before: %d, begun %d; judged: %d, begun %d", crashes, len(before), b, len(judged), j)
	if len(judged) < innerRequests {
		return nil, fmt.Errorf("only %d sound requests to judge", len(judged))
	}
	if float64(j)/float64(len(judged)) < innerBegunShare*float64(b)/float64(len(before)) {
		return []string{fmt.Sprintf("%d of %d sound requests began, %d of %d before", j, len(judged), b, len(before))}, nil
	}
	return nil, nil
}
