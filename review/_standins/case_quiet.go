package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// In quiet hours some callers ask for something now and then.
	quietPeriod = 15 * time.Second
	quietCalls  = 3
	// quietEvents is the number of events of their streams, which take about four seconds.
	quietEvents, quietGap = 16, 240 * time.Millisecond
	// One caller sends requests with the deadly part, from quietLead after sound ones on.
	quietDeadlyPeriod = time.Second
	quietLead         = time.Second
	quietTime         = 60 * time.Second
	// maxDeadlyArrivals is the number of requests of the rule.
	maxDeadlyArrivals = 3
)

// runQuiet shows how many requests with a part that crashes engines reach engines while
// there is little other traffic.
func runQuiet(rec *record, trouble bool) (broken bool, err error) {
	d, err := startPromptDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.fleet.setStream(quietEvents, quietGap)
	begin := time.Now()
	end := begin.Add(quietTime)
	var mu sync.Mutex
	sound, whole := 0, 0
	var clients sync.WaitGroup
	send := func(n int, r request, counted bool) {
		clients.Go(func() {
			c := &client{record: rec, vm: d.vms[n%len(d.vms)]}
			a := c.send(r)
			c.close()
			if counted {
				mu.Lock()
				defer mu.Unlock()
				sound++
				if a.status == 200 && a.whole {
					whole++
				}
			}
		})
	}
	clients.Go(func() {
		n := 0
		for next := begin; next.Before(end.Add(-promptLimit)); next = next.Add(quietPeriod) {
			time.Sleep(time.Until(next))
			for range quietCalls {
				send(n, prompt(firstKey, "e4402b7d", "91bd3f06"), true)
				n++
			}
		}
	})
	if trouble {
		clients.Go(func() {
			n := 0
			for next := begin.Add(quietLead); next.Before(end); next = next.Add(quietDeadlyPeriod) {
				time.Sleep(time.Until(next))
				send(n, prompt(firstKey, "e4402b7d", deadlyPart), false)
				n++
			}
		})
	}
	time.Sleep(time.Until(end))
	clients.Wait()
	if vm := d.endedVM(); vm != "" {
		return false, fmt.Errorf("the process of %s ended", vm)
	}
	_, crashes := d.fleet.summary()
	rec.add("crashes of engines: %d; sound streams: %d, whole: %d", len(crashes), sound, whole)
	if !trouble {
		return sound != whole, nil
	}
	if len(crashes) < 5 {
		if len(crashes) == 0 {
			return false, errors.New("no engine crashed")
		}
		return false, nil
	}
	late := d.fleet.deadlyAfter(crashes[4].Add(contactTime))
	rec.add("requests with the part that reached engines later than %.3f s, %s after the fifth crash: %d, at most %d allowed",
		rec.since(crashes[4].Add(contactTime)), contactTime, late, maxDeadlyArrivals)
	return late > maxDeadlyArrivals, nil
}
