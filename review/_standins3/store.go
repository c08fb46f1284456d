package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct{ table, part, key string }

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// txRow is a row in a transaction.
type txRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version int64  `json:"ver"`
	Value   []byte `json:"value"`
}

// store is a stand-in of the platform's metadata store: its rows, without objects and rates.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex // guards the fields below
	rows    map[rowKey]row
	version int64
	changed chan struct{}
}

func startStore() (*store, error) {
	s := &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
	var err error
	s.address, err = serveHTTP(s)
	return s, err
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond sends rows. The caller must hold s.mu.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": append([]row{}, rows...), "has_more": more, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, x := range s.rows {
		inRange := k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to"))
		if k.table == q.Get("table") && k.part == q.Get("part") && inRange && !x.Deleted {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.respond(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var rows []row
		for k, x := range s.rows {
			if k.table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || ended {
			slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
			s.respond(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []txRow `json:"expect"`
		Puts   []txRow `json:"puts"`
		Remove []txRow `json:"remove"`
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(raw, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	matched := true
	for _, e := range tx.Expect {
		have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if !ok || have.Deleted {
			have = row{}
		} else {
			current = append(current, have)
		}
		matched = matched && have.Version == e.Version
	}
	if !matched {
		s.respond(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[rowKey{p.Table, p.Part, p.Key}] = row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, p := range tx.Remove {
		s.rows[rowKey{p.Table, p.Part, p.Key}] = row{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true, Version: s.version}
	}
	s.notify()
	s.respond(w, http.StatusOK, nil, false)
}

// notify wakes the feeds. The caller must hold s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator and the servers do.
func (s *store) put(table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: raw, Version: s.version}
	s.notify()
	return nil
}

// remove removes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Deleted: true, Version: s.version}
	s.notify()
}
