package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store. Value is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store. Its answers are linearizable.
type store struct {
	started time.Time

	mu      sync.Mutex // guards the fields below
	rows    map[rowKey]row
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put writes a row as the operator and the engines do. It returns when the store has
// accepted it, which is its acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: raw, Version: s.version}
	s.notify()
	return time.Now()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.notify()
}

// notify wakes the waiting feeds. The caller must hold mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-get":
		s.serveGet(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	case "/rows-tx":
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// maxRows bounds the rows of one answer.
const maxRows = 500

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) && !v.Deleted {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for late := false; ; {
		s.mu.Lock()
		var rows []row
		for k, v := range s.rows {
			if k.table == q.Get("table") && v.Version > after {
				rows = append(rows, v)
			}
		}
		if len(rows) > 0 || late {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// txRow is a row of a transaction.
type txRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version int64  `json:"ver"`
	Value   []byte `json:"value"`
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expect, Puts, Remove []txRow }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]txRow(nil), tx.Puts...), tx.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	matched := true
	for _, x := range tx.Expect {
		have := s.rows[rowKey{x.Table, x.Part, x.Key}]
		if have.Deleted {
			have = row{}
		}
		matched = matched && have.Version == x.Version
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if !matched {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, x := range tx.Puts {
		s.rows[rowKey{x.Table, x.Part, x.Key}] = row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value, Version: s.version}
	}
	for _, x := range tx.Remove {
		s.rows[rowKey{x.Table, x.Part, x.Key}] = row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false)
}

// answer writes an answer about rows. The caller must hold mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	raw, err := json.Marshal(map[string]any{"rows": append([]row{}, rows...), "has_more": more, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds()})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// dump returns the keys of a table, for the record of a run.
func (s *store) dump(table string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k, v := range s.rows {
		if k.table == table && !v.Deleted {
			keys = append(keys, k.key)
		}
	}
	sort.Strings(keys)
	return strings.Join(keys, ",")
}
