package team

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/measure"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// teamCounts are the numbers of teams from which docs/CAPACITY.md derives its
// slopes.
var teamCounts = []int{1000, 10000, 37000}

func holdAll() *Ledger {
	l := &Ledger{}
	for s := range Slot(SlotCount) {
		l.Take(s, 1, HandoverState{Full: true}, 0)
	}
	return l
}

// BenchmarkAdmission measures one charge at its holder: lend, start and settle.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range teamCounts {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			l := holdAll()
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("team-%d", i)
			}
			limits := Limits{Rate: 1e9, Cap: 1e9}
			b.ReportAllocs()
			var now timer.Instant
			for i := 0; b.Loop(); i++ {
				now += 1000
				name := names[i%n]
				id := LoanID("vm-1/" + name)
				l.Lend(now, name, limits, id, 1000)
				l.Report(now, limits, Report{ID: id, Team: name, Kind: ReportStart})
				l.Report(now, limits, Report{ID: id, Team: name, Kind: ReportSettle, Used: 900})
			}
		})
	}
}

// BenchmarkLedgerMemory measures the memory of one team's bucket.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range teamCounts {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := measure.HeapAllocAfterGC()
				l := holdAll()
				for i := range n {
					l.Lend(0, fmt.Sprintf("team-%d", i), Limits{Rate: 1, Cap: 1}, "", 0)
				}
				b.ReportMetric(float64(measure.HeapAllocAfterGC()-before)/float64(n), "B/team")
				runtime.KeepAlive(l)
			}
		})
	}
}
