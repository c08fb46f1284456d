package backend

import "time"

// incarnation identifies a server between its start and its end.
type incarnation struct {
	id   string
	born int64
}

// RecordBackoff records that an incarnation asked this VM to send it no requests until a
// time, and reports whether it had not asked so before. The record outlives the listing,
// which may lapse and come back.
func (t *Table) RecordBackoff(id string, born int64, until, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, end := range t.backoffs {
		if now >= end {
			delete(t.backoffs, i)
		}
	}
	if t.backoffs == nil {
		t.backoffs = make(map[incarnation]time.Duration)
	}
	i := incarnation{id, born}
	end, known := t.backoffs[i]
	t.backoffs[i] = max(end, until)
	return !known
}

// BackoffEnd returns until when an incarnation has asked this VM to send it no requests.
// It reports false if it has not, or if the time is over.
func (t *Table) BackoffEnd(id string, born int64, now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, ok := t.backoffs[incarnation{id, born}]
	return end, ok && now < end
}

// EarliestBackoffEnd returns when the first server of a service takes requests again. It
// reports false if there is one that does not ask for a back-off, or none at all.
func (t *Table) EarliestBackoffEnd(service string, now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earliest, found := time.Duration(0), false
	for id, r := range t.servers {
		if r.server.Service != service || r.gone(now) || r.listing().Draining {
			continue
		}
		end := t.backoffs[incarnation{id, r.server.Born}]
		if now >= end {
			return 0, false
		}
		if !found || end < earliest {
			earliest, found = end, true
		}
	}
	return earliest, found
}
