package trial

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/marjoramrock/marjoramrock/internal/config"
)

// TeamReport is how one team fared.
type TeamReport struct {
	Team           string `json:"team"`
	Offered        int    `json:"offered"`
	Served         int    `json:"served"`
	Refused        int    `json:"refused"`
	Failed         int    `json:"failed"`
	WronglyRefused int    `json:"wrong"`
	// Unavoidable is how many model requests one place with the same rate,
	// burst and wait must refuse.
	Unavoidable int     `json:"unavoidable"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
	// ServedShare is the tokens served, of those that the team's rate and burst
	// give it of what it offered.
	ServedShare float64 `json:"share"`
}

// ClassReport is how much of one level of the nest was cached.
type ClassReport struct {
	Class   string  `json:"class"`
	HitRate float64 `json:"hit"`
}

// Report is what a run measured. Times are in milliseconds and of requests
// within their teams' rates.
type Report struct {
	Profile string  `json:"profile"`
	Policy  string  `json:"policy"`
	Seed    uint64  `json:"seed"`
	Offered int     `json:"offered"`
	Served  int     `json:"served"`
	HitRate float64 `json:"hit"`
	P50     float64 `json:"p50"`
	P95     float64 `json:"p95"`
	P99     float64 `json:"p99"`
	// RecomputedShare is the part of all prompt tokens that was computed although some
	// engine had computed it before.
	RecomputedShare float64 `json:"waste"`
	// WorstServedShare is the share of the worst-served team that kept to its rate.
	WorstServedShare float64 `json:"worst"`
	// WronglyRefusedShare is the part of requests within the team's rate that was refused.
	WronglyRefusedShare float64 `json:"wrong"`
	// ExcessRefusedShare is the part of all requests that was refused beyond those that
	// one place with the same rates, bursts and waits must refuse.
	ExcessRefusedShare float64        `json:"excess"`
	Refusals           []Refusal      `json:"refusals"`
	Errors             map[string]int `json:"errors"`
	Teams              []TeamReport   `json:"teams"`
	Classes            []ClassReport  `json:"levels"`
	// HitRateAfterRestart and Steady are the hit rates of the first requests after a herd
	// restart and of as many before it; both 0 without one.
	HitRateAfterRestart  float64 `json:"early"`
	HitRateBeforeRestart float64 `json:"steady"`
}

// Bounds of the histogram, in microseconds.
const (
	histogramLow  = 1
	histogramHigh = int64(2 * time.Minute / time.Microsecond)
	histogramFine = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramFine)
}

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// hits counts prompt tokens and those of them that were cached.
type hits struct{ prompt, cached int }

func (h *hits) add(r Reply) {
	if r.Usage != nil {
		h.prompt += r.Usage.PromptTokens
		h.cached += r.Usage.Details.CachedTokens
	}
}

func (h hits) rate() float64 { return float64(h.cached) / float64(max(1, h.prompt)) }

// tally gathers the outcomes of a run.
type tally struct {
	all      hits
	first    *hdrhistogram.Histogram
	errors   map[string]int
	teams    map[string]*teamTally
	classes  map[string]*hits
	refusals []Refusal
	// sizes holds what each model request takes from its team if it runs, by
	// the request's id.
	sizes  map[string]debit
	herdAt time.Duration
	early  hits
	steady hits
}

// teamTally is one team's part.
type teamTally struct {
	TeamReport
	first *hdrhistogram.Histogram
	// got is the tokens served of those due, which are what the team's rate
	// and burst cover of its offer.
	got, due float64
}

func newTally(l RunOptions, doc config.Document) *tally {
	t := &tally{
		first: newHistogram(), errors: make(map[string]int),
		sizes: make(map[string]debit), teams: make(map[string]*teamTally), classes: make(map[string]*hits),
	}
	for _, f := range l.Faults {
		if f.kind == FaultRestartAll {
			t.herdAt = f.at
		}
	}
	for _, d := range doc.Teams {
		t.teams[d.Name] = &teamTally{
			TeamReport: TeamReport{Team: d.Name}, first: newHistogram(),
		}
	}
	return t
}

func (t *tally) add(a arrival, intended time.Time, reply Reply, err error) {
	one := t.teams[a.class.team]
	one.Offered++
	if a.class.path == "" {
		t.sizes[reply.RequestID] = debit{team: a.class.team, tokens: a.size(), ended: reply.EndedAt.Sub(intended) + a.at}
	}
	if a.inside {
		one.due += a.size()
	}
	switch {
	case err != nil:
		one.Failed++
		t.errors[kindOf(err)]++
	case !reply.OK():
		t.refuse(one, a, intended, reply)
	default:
		t.serve(one, a, intended, reply)
	}
}

// kindOf names an error without its details.
func kindOf(err error) string {
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err.Error()
}

func (t *tally) refuse(one *teamTally, a arrival, intended time.Time, reply Reply) {
	one.Refused++
	kind := http.StatusText(reply.Status)
	if reply.Error != nil {
		kind = reply.Error.Type
	}
	t.errors[kind]++
	if a.inside {
		one.WronglyRefused++
	}
	if a.class.path != "" {
		return
	}
	t.refusals = append(t.refusals, Refusal{
		Team: a.class.team, Kind: kind, ArrivedMillis: inMillis(a.at), EndedMillis: inMillis(reply.EndedAt.Sub(intended) + a.at),
		Tokens: a.size(), WithinRate: a.inside,
	})
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// debits returns what the requests that ran took from their teams.
func (r *run) debits() []debit {
	var out []debit
	for _, name := range sortedKeys(r.cluster.Engines) {
		for _, s := range r.cluster.Engines[name].Counts().Starts {
			d, ok := r.tally.sizes[s.Request]
			if !ok {
				continue
			}
			d.at = time.UnixMicro(s.Came).Sub(r.began)
			out = append(out, d)
			delete(r.tally.sizes, s.Request)
		}
	}
	return out
}

// herdWindow is how long after a herd restart counts as early.
const herdWindow = 3 * time.Second

func (t *tally) serve(one *teamTally, a arrival, intended time.Time, reply Reply) {
	one.Served++
	if a.class.path != "" {
		return
	}
	t.all.add(reply)
	if !a.inside {
		return
	}
	wait := reply.FirstTextAt.Sub(intended).Microseconds()
	_ = t.first.RecordValue(wait)
	_ = one.first.RecordValue(wait)
	one.got += a.size()
	if t.classes[a.class.name] == nil {
		t.classes[a.class.name] = &hits{}
	}
	t.classes[a.class.name].add(reply)
	if t.herdAt > 0 && a.at >= t.herdAt && a.at < t.herdAt+herdWindow {
		t.early.add(reply)
	}
	if t.herdAt > 0 && a.at < t.herdAt && a.at >= t.herdAt-herdWindow {
		t.steady.add(reply)
	}
}

func (r *run) report() *Report {
	t := r.tally
	out := &Report{
		Profile: r.load.Profile.name, Policy: r.load.Policy, Seed: r.load.Seed,
		HitRate: t.all.rate(), P50: millis(t.first, 50), P95: millis(t.first, 95), P99: millis(t.first, 99),
		WorstServedShare: 1, Errors: t.errors, HitRateAfterRestart: t.early.rate(), HitRateBeforeRestart: t.steady.rate(),
	}
	prompt, wrong, inside, excess := 0, 0, 0, 0
	for _, e := range r.cluster.Engines {
		prompt += e.Counts().Prompt
	}
	out.RecomputedShare = float64(r.wasted.Wasted()) / float64(max(1, prompt))
	for _, name := range sortedKeys(t.teams) {
		one := t.teams[name].close()
		out.Teams = append(out.Teams, one)
		out.Offered += one.Offered
		out.Served += one.Served
		wrong += one.WronglyRefused
		inside += one.WronglyRefused + one.Served
		excess += max(0, one.Refused-one.Unavoidable)
		out.WorstServedShare = min(out.WorstServedShare, one.ServedShare)
	}
	out.WronglyRefusedShare = float64(wrong) / float64(max(1, inside))
	out.Refusals = t.refusals
	replay(r.cluster.Document(), r.debits(), out.Refusals)
	out.ExcessRefusedShare = float64(excess) / float64(max(1, out.Offered))
	for _, name := range sortedKeys(t.classes) {
		out.Classes = append(out.Classes, ClassReport{Class: name, HitRate: t.classes[name].rate()})
	}
	return out
}

func (one *teamTally) close() TeamReport {
	one.P50, one.P99 = millis(one.first, 50), millis(one.first, 99)
	one.ServedShare = 1
	if one.due > 0 {
		one.ServedShare = min(1, one.got/one.due)
	}
	return one.TeamReport
}

// Print writes reports as tables: the measures side by side, then the teams of
// each run.
func Print(w io.Writer, reports []*Report) {
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	say("%-12s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s", "policy", "offered", "served", "hit %", "p50 ms", "p95 ms", "p99 ms", "waste %", "worst %", "wrong %", "excess %")
	for _, r := range reports {
		say("%-12s %8d %8d %8.2f %8.1f %8.1f %8.1f %8.2f %8.1f %8.2f %8.2f", r.Policy, r.Offered, r.Served,
			100*r.HitRate, r.P50, r.P95, r.P99, 100*r.RecomputedShare, 100*r.WorstServedShare, 100*r.WronglyRefusedShare, 100*r.ExcessRefusedShare)
	}
	for _, r := range reports {
		say("\n%s, %s, seed %d; refusals and errors: %v", r.Profile, r.Policy, r.Seed, r.Errors)
		if r.HitRateBeforeRestart > 0 {
			say("hit rate before the herd restart %.2f %%, after it %.2f %%", 100*r.HitRateBeforeRestart, 100*r.HitRateAfterRestart)
		}
		say("%-14s %8s %8s %8s %8s %8s %8s %8s %8s", "team", "offered", "served", "refused", "must", "wrong", "share %", "p50 ms", "p99 ms")
		for _, t := range r.Teams {
			say("%-14s %8d %8d %8d %8d %8d %8.1f %8.1f %8.1f", t.Team, t.Offered, t.Served, t.Refused, t.Unavoidable, t.WronglyRefused, 100*t.ServedShare, t.P50, t.P99)
		}
		for _, l := range r.Classes {
			say("  hit rate of %-14s %6.2f %%", l.Class, 100*l.HitRate)
		}
	}
}
