package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/measure"
)

var teamCounts = []int{1000, 10000, 37000}

// benchmarkDocument returns a document with n teams, each with one key, and the
// zones, models and engines of the largest deployment that is designed for.
func benchmarkDocument(n int) Document {
	doc := Document{Policy: &Policy{MaxProofAge: Duration(DefaultMaxProofAge)}}
	for z := range 14 {
		doc.Zones = append(doc.Zones, Zone{Name: fmt.Sprintf("zone-%d", z), Weight: 1.0 / 14})
	}
	for m := range 30 {
		name := fmt.Sprintf("model-%d", m)
		doc.Models = append(doc.Models, Model{Name: name, Version: "v1", MinBytesPerToken: 3, MaxAnswerTokens: 1024})
		doc.Routes = append(doc.Routes, Route{Name: name, Model: name})
	}
	for e := range 1700 {
		doc.Engines = append(doc.Engines, Engine{
			Name: fmt.Sprintf("engine-%d", e), Zone: fmt.Sprintf("zone-%d", e%14), Model: fmt.Sprintf("model-%d", e%30),
			Address: fmt.Sprintf("10.1.%d.%d:9000", e/250, e%250+1), Slots: 8,
		})
	}
	for i := range n {
		name := fmt.Sprintf("team-%d", i)
		sum := sha256.Sum256([]byte(name))
		doc.Teams = append(doc.Teams, Team{Name: name, Rate: 1000, Burst: 4000})
		doc.Keys = append(doc.Keys, Key{Name: "key-" + name, Team: name, Digest: hex.EncodeToString(sum[:])})
	}
	return doc
}

// BenchmarkChange measures the cost of applying one change in a router, by the
// number of teams.
func BenchmarkChange(b *testing.B) {
	for _, n := range teamCounts {
		c := FromSnapshot(Snapshot{Generation: 1, Document: benchmarkDocument(n)})
		for _, kind := range []struct {
			name string
			set  Document
		}{
			{"team", Document{Teams: []Team{{Name: "team-1", Rate: 7, Burst: 9}}}},
			{"key", Document{Keys: []Key{{Name: "new", Team: "team-1", Digest: "0"}}}},
		} {
			ch, err := NewChange(c, Delta{Set: kind.set}, "token")
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%s/teams=%d", kind.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := c.Apply(ch); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkRestart measures the decoding of a snapshot, its size, and the heap
// memory of the resulting configuration.
func BenchmarkRestart(b *testing.B) {
	for _, n := range teamCounts {
		raw, err := json.Marshal(Snapshot{Generation: 1, Document: benchmarkDocument(n)})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			var c *Config
			before := measure.HeapAllocAfterGC()
			for b.Loop() {
				var s Snapshot
				if err := json.Unmarshal(raw, &s); err != nil {
					b.Fatal(err)
				}
				c = FromSnapshot(s)
			}
			b.ReportMetric(float64(len(raw)), "B/snapshot")
			b.ReportMetric(float64(measure.HeapAllocAfterGC())-float64(before), "B/heap")
			runtime.KeepAlive(c)
		})
	}
}
