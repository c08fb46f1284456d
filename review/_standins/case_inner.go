package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// One caller sends sound requests over a kept connection. Their prompts have the inner
	// part in common with those that crash engines, and another outer part.
	innerPart       = "91bd3f06"
	soundOuterPart  = "7d20c4e1"
	innerPeriod     = 1500 * time.Millisecond
	innerCalmTime   = 31500 * time.Millisecond
	innerDeadlyTime = 59 * time.Second
	// Requests with the deadly part come at all machines, from innerLead after a sound one on.
	innerDeadlyPeriod = 300 * time.Millisecond
	innerLead         = 300 * time.Millisecond
	// Each machine has other traffic.
	otherPeriod = 250 * time.Millisecond
	// minCounted is the number of requests from which on the rule judges.
	minCounted = 20
)

// runInner shows whether sound requests that share a part with deadly ones still begin.
func runInner(rec *record, trouble bool) (broken bool, err error) {
	d, err := startPromptDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	begin := time.Now()
	deadlyFrom, end := begin.Add(innerCalmTime), begin.Add(innerCalmTime+innerDeadlyTime)
	var sound []answer
	var clients sync.WaitGroup
	every := func(from time.Time, period time.Duration, f func()) {
		clients.Go(func() {
			for next := from; next.Before(end); next = next.Add(period) {
				time.Sleep(time.Until(next))
				f()
			}
		})
	}
	caller := &client{record: rec, vm: d.vms[0]}
	every(begin, innerPeriod, func() { sound = append(sound, caller.send(prompt(firstKey, soundOuterPart, innerPart))) })
	for i, v := range d.vms {
		other := &client{record: rec, vm: v}
		every(begin.Add(time.Duration(i)*otherPeriod/time.Duration(len(d.vms))), otherPeriod, func() { other.send(prompt(secondKey, "e4402b7d", "3b77aa10")) })
	}
	if trouble {
		n := 0
		var senders sync.WaitGroup
		defer senders.Wait()
		every(deadlyFrom.Add(innerLead), innerDeadlyPeriod, func() {
			c := &client{record: rec, vm: d.vms[n%len(d.vms)]}
			n++
			senders.Go(func() { c.send(prompt(firstKey, deadlyPart, innerPart)); c.close() })
		})
	}
	clients.Wait()
	if vm := d.endedVM(); vm != "" {
		return false, fmt.Errorf("the process of %s ended", vm)
	}
	return judgeInner(rec, d.fleet, sound, deadlyFrom, trouble)
}

// judgeInner counts the sound requests that began at the first attempt.
func judgeInner(rec *record, f *fleet, sound []answer, deadlyFrom time.Time, trouble bool) (broken bool, err error) {
	arrivals, crashes := f.summary()
	from := deadlyFrom
	if trouble {
		if len(crashes) == 0 {
			return false, errors.New("no engine crashed")
		}
		from = crashes[min(len(crashes), 5)-1].Add(2 * contactTime)
	}
	var before, after, begunBefore, begunAfter int
	for _, a := range sound {
		begun := false
		for _, x := range arrivals[a.id] {
			begun = begun || x.began
		}
		switch {
		case a.sentAt.Before(deadlyFrom):
			before++
			if begun {
				begunBefore++
			}
		case a.sentAt.After(from):
			after++
			if begun {
				begunAfter++
			}
		}
	}
	rec.add("crashes of engines: %d", len(crashes))
	rec.add("sound requests before the deadly ones: %d, begun %d", before, begunBefore)
	rec.add("sound requests from %.3f s on: %d, begun %d", rec.since(from), after, begunAfter)
	if before < minCounted || after < minCounted {
		return false, fmt.Errorf("too few sound requests: %d and %d", before, after)
	}
	return float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before), nil
}
