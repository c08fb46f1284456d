package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// The prompts of a long session have deepParts shared parts; the deadly one is the last of
	// them, before the request's own part.
	deepParts = 34
	// Each machine serves a sound request of such a session each deepPeriod, and deadly ones
	// come at all machines in turn, one each deepDeadlyPeriod, from deepLead on.
	deepPeriod       = 250 * time.Millisecond
	deepDeadlyPeriod = time.Second
	deepLead         = 5 * time.Second
	deepTime         = 50 * time.Second
)

// sessionParts returns the shared parts of a prompt: all but the last are those of every
// prompt of the case.
func sessionParts(last string) []string {
	parts := make([]string, 0, deepParts)
	for i := range deepParts - 1 {
		parts = append(parts, fmt.Sprintf("a0%06x", i))
	}
	return append(parts, last)
}

// runDeep shows how many requests reach engines with a deadly part that follows many sound
// ones in its prompt.
func runDeep(rec *record, trouble bool) (broken bool, err error) {
	d, err := startPromptDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	begin := time.Now()
	end := begin.Add(deepTime)
	var mu sync.Mutex
	sound, whole, cut := 0, 0, 0
	var clients sync.WaitGroup
	every := func(from time.Time, period time.Duration, f func()) {
		clients.Go(func() {
			for next := from; next.Before(end); next = next.Add(period) {
				time.Sleep(time.Until(next))
				f()
			}
		})
	}
	for i, v := range d.vms {
		c := &client{record: rec, vm: v}
		every(begin.Add(time.Duration(i)*deepPeriod/time.Duration(len(d.vms))), deepPeriod, func() {
			a := c.send(prompt(firstKey, sessionParts("91bd3f06")...))
			mu.Lock()
			defer mu.Unlock()
			sound++
			switch {
			case a.status == 200 && a.whole:
				whole++
			case a.status == 200 || a.status == 502:
				cut++
			}
		})
	}
	if trouble {
		n := 0
		var senders sync.WaitGroup
		defer senders.Wait()
		every(begin.Add(deepLead), deepDeadlyPeriod, func() {
			c := &client{record: rec, vm: d.vms[n%len(d.vms)]}
			n++
			senders.Go(func() { c.send(prompt(firstKey, sessionParts(deadlyPart)...)); c.close() })
		})
	}
	clients.Wait()
	if vm := d.endedVM(); vm != "" {
		return false, fmt.Errorf("the process of %s ended", vm)
	}
	_, crashes := d.fleet.summary()
	rec.add("crashes of engines: %d; sound streams: %d, whole: %d, cut off after they had reached an engine: %d", len(crashes), sound, whole, cut)
	switch {
	case whole == 0:
		return false, errors.New("no sound stream was served")
	case !trouble:
		return sound != whole, nil
	case len(crashes) == 0:
		return false, errors.New("no engine crashed")
	case len(crashes) < 5:
		return false, nil
	}
	late := d.fleet.deadlyAfter(crashes[4].Add(contactTime))
	rec.add("requests with the part that reached engines later than %.3f s, %s after the fifth crash: %d, at most %d allowed",
		rec.since(crashes[4].Add(contactTime)), contactTime, late, maxDeadlyArrivals)
	return late > maxDeadlyArrivals, nil
}
