package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Streams have silenceEvents events, one each silenceGap.
	silenceEvents = 8
	silenceGap    = 30 * time.Millisecond
	// One engine after the other falls silent, each pausePeriod for pauseTime.
	pauseTime   = 1200 * time.Millisecond
	pausePeriod = time.Second
	// Each hupPeriod, hupMachines machines get SIGHUP within hupSpread.
	hupPeriod   = 3 * time.Second
	hupMachines = 3
	hupSpread   = 2 * time.Second
	// configTime is config_ms.
	configTime     = 2 * time.Second
	silenceTime    = 60 * time.Second
	silenceClients = 72
	resumePath     = "/xapu221/ny95/2f"
	resumeLimit    = 15 * time.Second
)

// silenceConfig returns a configuration with a route of streams that may be resumed.
func silenceConfig(kvStoreAddress string) map[string]any {
	c := promptConfig(kvStoreAddress)
	c["routes"] = []any{map[string]any{
		"name": "r-mgjqnir", "host": clientHost, "prefix": "/xapu221/ny95/", "kind": "streaming", "timeout_ms": 15000, "goal_ms": 300, "prio": 0,
		"service": serviceName, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_goal_ms": 250,
	}}
	return c
}

// runSilence shows whether streams are cut, around a change of the settings, while engines
// fall silent for a moment.
func runSilence(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	kvStoreAddress, err := d.serve("127.0.0.1:0", kvStore{})
	if err != nil {
		return false, err
	}
	d.store.put("op", "config", silenceConfig(kvStoreAddress))
	d.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	f, err := newRawFleet(rec, d.store, 9, silenceEvents, silenceGap)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := d.addVMs(6); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(warmTime)
	end := time.Now().Add(silenceTime)
	var mu sync.Mutex
	var answers []answer
	hups := make(map[string][]time.Time)
	var all sync.WaitGroup
	for i := range silenceClients {
		all.Go(func() {
			c := &client{record: rec, vm: d.vms[i%len(d.vms)]}
			defer c.close()
			for time.Now().Before(end) {
				r := prompt([]string{firstKey, secondKey}[i%2], "e4402b7d", "91bd3f06")
				r.path, r.deadline = resumePath, resumeLimit
				r.header["Token-Count"] = "628,58"
				a := c.send(r)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	if trouble {
		all.Go(func() {
			for time.Now().Before(end) {
				f.pauseOne(pauseTime)
				time.Sleep(pausePeriod)
			}
		})
		all.Go(func() {
			for next := time.Now(); next.Before(end); next = next.Add(hupPeriod) {
				for n, i := range rand.Perm(len(d.vms))[:hupMachines] {
					time.Sleep(time.Until(next.Add(time.Duration(n) * hupSpread / hupMachines)))
					mu.Lock()
					hups[d.vms[i].name] = append(hups[d.vms[i].name], time.Now())
					mu.Unlock()
					d.signal(d.vms[i], syscall.SIGHUP)
				}
				time.Sleep(time.Until(next.Add(hupPeriod)))
			}
		})
	}
	all.Wait()
	if vm := d.endedVM(); vm != "" {
		return false, fmt.Errorf("the process of %s ended", vm)
	}
	return judgeSilence(rec, f, answers, hups)
}

// judgeSilence counts the streams that were cut although no engine had broken off.
func judgeSilence(rec *record, f *rawFleet, answers []answer, hups map[string][]time.Time) (broken bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served, cut, counted := 0, 0, 0
	for _, a := range answers {
		if a.status == 200 && a.whole {
			served++
		}
		if a.whole || a.took > resumeLimit-time.Second || len(f.runs[a.id]) == 0 {
			continue
		}
		cut++
		near := false
		for _, h := range hups[a.vm] {
			near = near || a.sentAt.After(h) && a.sentAt.Before(h.Add(configTime))
		}
		if near {
			counted++
		}
		var runs []string
		for _, r := range f.runs[a.id] {
			runs = append(runs, fmt.Sprintf("%s from event %d, sent up to %d, to the end %t", r.engine, r.from, r.sent, r.whole))
		}
		rec.add("cut: request %s at %s, status %d, %d events, %v, after %d ms, soon after SIGHUP %t; runs: %s",
			a.id, a.vm, a.status, strings.Count(a.body, "data: "), a.err, a.took.Milliseconds(), near, strings.Join(runs, "; "))
	}
	rec.add("streams: %d, whole %d; cut without an engine that broke off: %d, of those sent within %s after SIGHUP of their machine: %d",
		len(answers), served, cut, configTime, counted)
	if served == 0 {
		return false, fmt.Errorf("no stream of %d was served", len(answers))
	}
	return counted > 0, nil
}
