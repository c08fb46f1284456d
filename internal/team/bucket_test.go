package team

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/fixedseed"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const tolerance = 1e-3

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 3000)) }

// bucketModel is a bucket with borrowers whose messages may be lost or delayed.
type bucketModel struct {
	t       *rapid.T
	limits  Limits
	bucket  *Bucket
	now     timer.Instant
	serial  int
	history []StartedRequest
	lent    []borrowedLoan
	running []borrowedLoan
}

type borrowedLoan struct {
	id     LoanID
	amount float64
	asked  timer.Instant
	// index is the index of the request in the history.
	index int
}

// removeAny removes and returns an arbitrary loan from a list.
func (w *bucketModel) removeAny(list *[]borrowedLoan) borrowedLoan {
	n := rapid.IntRange(0, len(*list)-1).Draw(w.t, "which")
	p := (*list)[n]
	*list = append((*list)[:n:n], (*list)[n+1:]...)
	return p
}

func (w *bucketModel) lend() {
	w.serial++
	id := LoanID(fmt.Sprint(w.serial))
	want := w.limits.Cap * float64(rapid.IntRange(1, 4).Draw(w.t, "quarters")) / 4
	if got := w.bucket.Lend(w.now, id, want, false); got > 0 {
		w.lent = append(w.lent, borrowedLoan{id: id, amount: got, asked: w.now})
	}
}

func (w *bucketModel) start() {
	p := w.removeAny(&w.lent)
	if w.now.Sub(p.asked) >= LoanTTL {
		return
	}
	p.index = len(w.history)
	w.history = append(w.history, StartedRequest{At: time.Duration(w.now), Tokens: p.amount})
	w.running = append(w.running, p)
	if rapid.Bool().Draw(w.t, "report arrives") {
		w.bucket.Start(w.now, p.id)
	}
}

func (w *bucketModel) settle() {
	p := w.removeAny(&w.running)
	used := p.amount * float64(rapid.IntRange(0, 2).Draw(w.t, "halves")) / 2
	w.bucket.Settle(w.now, p.id, used)
	w.history[p.index].Tokens = used
}

func (w *bucketModel) step() {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 10, 100, 300, 900, 2100}).Draw(w.t, "ms")) * time.Millisecond)
	action := rapid.SampledFrom([]string{"lend", "lend", "start", "start", "settle", "settle", "return", "replace", "hand over"}).Draw(w.t, "what")
	switch {
	case action == "lend":
		w.lend()
	case action == "start" && len(w.lent) > 0:
		w.start()
	case action == "settle" && len(w.running) > 0:
		w.settle()
	case action == "return" && len(w.lent) > 0:
		w.bucket.Return(w.now, w.removeAny(&w.lent).id)
	case action == "replace" && rapid.IntRange(0, 15).Draw(w.t, "rarely") == 0:
		w.bucket = NewBucket(w.limits, 0, w.now.Add(HolderLoanTTL))
	case action == "hand over" && rapid.IntRange(0, 7).Draw(w.t, "rarely") == 0:
		w.handOver()
	}
}

// handOver hands the bucket over to another holder, which does not know the old
// loans and ignores reports of them.
func (w *bucketModel) handOver() {
	var from, to Ledger
	from.slots[SlotOf("team")].held = true
	from.slots[SlotOf("team")].buckets = map[string]*Bucket{"team": w.bucket}
	to.Take(SlotOf("team"), 2, from.Drop(SlotOf("team"), w.now), w.now)
	_, held := to.Lend(w.now, "team", w.limits, "", 0)
	require.True(w.t, held)
	w.bucket = to.slots[SlotOf("team")].buckets["team"]
}

// TestBucketWindowBound checks that no window of the started requests exceeds
// rate and burst when messages are lost or delayed, holders are replaced and
// loans are refunded.
func TestBucketWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Rate: rapid.SampledFrom([]float64{100, 1000, 4000}).Draw(t, "rate"), Cap: 1000}
		w := &bucketModel{t: t, limits: limits, bucket: NewBucket(limits, limits.Cap, 0)}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step()
			require.LessOrEqual(t, w.bucket.Level()+w.bucket.Lent(), limits.Cap+tolerance)
		}
		require.LessOrEqual(t, MaxWindowExcess(w.history, limits.Rate, limits.Cap), tolerance)
	})
}

func TestBucketSettle(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	tests := []struct {
		give      string
		wait      time.Duration
		used      float64
		wantLevel float64
	}{
		{give: "all used", used: 800, wantLevel: 200},
		{give: "half used, settled at once", used: 400, wantLevel: 600},
		{give: "none used, bucket refilled meanwhile", wait: 10 * time.Second, used: 0, wantLevel: 1000},
		{give: "more used than charged is debt", used: 1300, wantLevel: -300},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			b := NewBucket(limits, 1000, 0)
			require.Equal(t, 800.0, b.Lend(0, "a", 800, true))
			b.Start(0, "a")
			b.Settle(timer.Instant(tt.wait), "a", tt.used)
			require.InDelta(t, tt.wantLevel, b.Level(), tolerance)
		})
	}
}

func TestBucketNoSecondBurstFromRefund(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	b := NewBucket(limits, 1000, 0)
	require.Equal(t, 1000.0, b.Lend(0, "a", 1000, true))
	b.Start(0, "a")
	full := timer.Instant(10 * time.Second)
	require.Equal(t, 1000.0, b.Lend(full, "b", 1000, true))
	b.Start(full, "b")
	b.Settle(full, "a", 0)
	require.Zero(t, b.Lend(full, "c", 1, true), "the bucket was full before the loan was settled")
}

func TestBucketLostLoanIsNeverMintedTwice(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	b := NewBucket(limits, 1000, 0)
	require.Equal(t, 1000.0, b.Lend(0, "lost", 1000, true))
	before := timer.Instant(HolderLoanTTL)
	require.Zero(t, b.Lend(before, "b", 1, true), "no refill while the lost loan may still be started")
	after := before.Add(time.Second)
	_ = b.Lend(after, "c", 0, false)
	require.LessOrEqual(t, b.Level(), limits.Rate)
}

func TestBucketLendIsIdempotent(t *testing.T) {
	b := NewBucket(Limits{Rate: 1, Cap: 100}, 100, 0)
	require.Equal(t, 60.0, b.Lend(0, "a", 60, true))
	require.Equal(t, 60.0, b.Lend(0, "a", 60, true))
	require.Equal(t, 40.0, b.Level())
}

func TestExcess(t *testing.T) {
	tests := []struct {
		give    string
		history []StartedRequest
		want    float64
	}{
		{give: "nothing"},
		{give: "one within the burst", history: []StartedRequest{{At: 0, Tokens: 100}}},
		{give: "one above the burst", history: []StartedRequest{{At: time.Second, Tokens: 130}}, want: 30},
		{give: "two, refilled between", history: []StartedRequest{{At: 10 * time.Second, Tokens: 100}, {At: 0, Tokens: 100}}},
		{give: "two, not refilled", history: []StartedRequest{{At: 0, Tokens: 100}, {At: time.Second, Tokens: 100}}, want: 90},
		{give: "a quiet time saves no more than the burst", history: []StartedRequest{
			{At: 0, Tokens: 1}, {At: 100 * time.Second, Tokens: 100}, {At: 101 * time.Second, Tokens: 100},
		}, want: 90},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			require.InDelta(t, tt.want, MaxWindowExcess(tt.history, 10, 100), tolerance)
		})
	}
}

func TestBucketCreditsAreTakenOffEachOther(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	b := NewBucket(limits, 1000, 0)
	for _, id := range []LoanID{"a", "b"} {
		require.Equal(t, 500.0, b.Lend(0, id, 500, true))
		b.Start(0, id)
	}
	later := timer.Instant(7 * time.Second)
	require.Equal(t, 500.0, b.Lend(later, "c", 500, true))
	b.Start(later, "c")
	b.Settle(later, "a", 0)
	b.Settle(later, "b", 0)
	got := b.Lend(later, "d", 1000, false)
	require.LessOrEqual(t, 500+got, 1000.0, "c and d start at the same instant")
}
