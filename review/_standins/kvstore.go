package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// kvStoreTokens is the capacity of the store of kept KV cache.
const kvStoreTokens = 1960877

// kvStore is a stand-in of the store of kept KV cache. It tells of no events.
type kvStore struct{}

// ServeHTTP implements http.Handler.
func (kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/kv-events" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(ms, 1000)) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 77120, "next": since, "lost": false, "events": []any{}})
}
