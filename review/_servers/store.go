package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store as it is sent.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It keeps all history, and
// answers every call at once. It is safe for concurrent use.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex // guards the fields below
	rows    map[rowKey]storeRow
	version int64
	changed chan struct{}
}

// newStore serves a store on a free port of the given loopback IP.
func newStore(ip string) (*store, error) {
	s := &store{started: time.Now(), rows: make(map[rowKey]storeRow), changed: make(chan struct{})}
	var err error
	s.address, _, err = serve(ip+":0", s)
	return s, err
}

// put writes a row whose value is the JSON of v, as the operator and the engines do.
func (s *store) put(table, key string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
	s.announce()
	return nil
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Deleted: true})
	s.announce()
}

// set stores a row at the newest version. The caller must hold mu.
func (s *store) set(r storeRow) {
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
}

// announce wakes the calls that wait for changes. The caller must hold mu.
func (s *store) announce() {
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

// selectRows returns the rows for which keep returns true, in an order. The caller must
// hold mu.
func (s *store) selectRows(keep func(storeRow) bool, less func(a, b storeRow) bool) []storeRow {
	rows := []storeRow{}
	for _, r := range s.rows {
		if keep(r) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return less(rows[i], rows[j]) })
	return rows
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selectRows(func(x storeRow) bool {
		return x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Deleted && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to"))
	}, func(a, b storeRow) bool { return a.Key < b.Key })
	more := len(rows) > limit
	s.respond(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		rows := s.selectRows(func(x storeRow) bool { return x.Table == q.Get("table") && x.Version > after }, func(a, b storeRow) bool { return a.Version < b.Version })
		if len(rows) > 0 || expired {
			s.respond(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []storeRow `json:"expect"`
		Puts   []storeRow `json:"puts"`
		Remove []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range tx.Expect {
		old := s.rows[rowKey{x.Table, x.Part, x.Key}]
		if old.Deleted {
			old.Version = 0
		}
		if old.Version != x.Version {
			s.respond(w, http.StatusPreconditionFailed, []storeRow{old}, false)
			return
		}
	}
	s.version++
	for _, x := range tx.Puts {
		s.set(x)
	}
	for _, x := range tx.Remove {
		x.Value, x.Deleted = "", true
		s.set(x)
	}
	s.announce()
	s.respond(w, http.StatusOK, []storeRow{}, false)
}

// respond writes a response. The caller must hold mu.
func (s *store) respond(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no response.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds()})
}
