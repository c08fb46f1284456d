package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// How the case is played.
const (
	batchProcesses = 3
	batchCalm      = 3 * time.Second
	batches        = 4
	// Each batch has batchRequests requests with the deadly part and one other part in common,
	// batchPeriod apart; batchGap lies between the begins of two batches.
	batchRequests = 6
	batchPeriod   = 100 * time.Millisecond
	batchGap      = 25 * time.Second
	soundPerSec   = 24.0
	// maxLate is the number of requests with the part that may reach engines too late.
	maxLate = 3
)

// playBatches sends requests with a part that crashes engines in batches, which differ in the
// other parts that their requests have in common.
func playBatches(p *play) ([]string, error) {
	fleet := &crashingFleet{play: p, begun: make(map[string]bool), read: 50 * time.Millisecond, events: 40}
	err := p.start(atlasConfig(), batchProcesses, atlasMemoryMB, func() error {
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
	var clients, others sync.WaitGroup
	var n atomic.Int64
	sound, deadly := newTally(), newTally()
	send := func(kind, key, prefix string, t *tally) {
		i := int(n.Add(1))
		q := request{
			id: fmt.Sprint(kind, i), key: key, path: "/draft/x", prefix: fmt.Sprintf("%s,%x:628", prefix, 0x10000+i),
			inputTokens: 826, outputTokens: 40, bodyBytes: 1700, deadline: 15 * time.Second, patience: atlasPatience,
		}
		g := p.gateways[i%len(p.gateways)]
		clients.Go(func() {
			x := ask(g.entry, q)
			t.add(x)
			p.logf("request %s to %s: %s", q.id, g.name, x)
		})
	}
	done := make(chan struct{})
	others.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(interval(soundPerSec)):
				send("s", otherAPIKey, fmt.Sprintf("%x:119,%x:79", 0x200+i%8, 0x2000+i%234), sound)
			}
		}
	})
	time.Sleep(batchCalm)
	for i := range batches {
		began := time.Now()
		for range batchRequests {
			if p.trouble {
				send("x", apiKey, fmt.Sprintf("%s:119,%x:79", deadlyPart, 0x9000+i), deadly)
			}
			time.Sleep(batchPeriod)
		}
		if i < batches-1 {
			time.Sleep(time.Until(began.Add(batchGap)))
		}
	}
	const rest = 3 * time.Second
	time.Sleep(rest)
	close(done)
	others.Wait()
	clients.Wait()
	for _, line := range sound.lines() {
		p.logf("sound requests: %s", line)
	}
	for _, line := range deadly.lines() {
		p.logf("requests with the deadly part: %s", line)
	}
	late := fleet.late()
	p.logf("%d crashes, %d requests with the part reached engines, %d of them later than %s after crash %d", len(fleet.crashes), len(fleet.arrivals), late, contactTime, maxCrashes)
	if late > maxLate {
		return []string{fmt.Sprintf("%d requests with a part that crashes engines reached engines too late", late)}, nil
	}
	return nil, nil
}

// late returns how many requests with the deadly part reached engines later than contactTime
// after crash maxCrashes.
func (f *crashingFleet) late() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < maxCrashes {
		return 0
	}
	from := f.crashes[maxCrashes-1].Add(contactTime)
	for _, at := range f.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}
