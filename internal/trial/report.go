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

// TeamReport holds the results of one team. P50 and P99 are the times to the first
// text of its model requests within the rate, in milliseconds.
type TeamReport struct {
	Team    string `json:"team"`
	Offered int    `json:"offered"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	// WronglyRefused counts the requests within the team's rate that were refused.
	WronglyRefused int `json:"wrong"`
	// Unavoidable is the number of model requests that even a single central rate
	// limiter with the same rate, burst and dispatch timeouts would refuse.
	Unavoidable int     `json:"unavoidable"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
	// ServedShare is the share that was served of the tokens that the team requested
	// within its rate.
	ServedShare float64 `json:"share"`
}

// ClassReport holds the cache hit rate of one class of requests.
type ClassReport struct {
	Class   string  `json:"class"`
	HitRate float64 `json:"hit"`
}

// Report holds the measurements of a run. P50, P95 and P99 are the times to the first
// text of model requests within their teams' rates, in milliseconds.
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
	// RecomputedShare is the share of all prompt tokens that was computed although some
	// engine had computed them before.
	RecomputedShare float64 `json:"waste"`
	// WorstServedShare is the lowest ServedShare of all teams.
	WorstServedShare float64 `json:"worst"`
	// WronglyRefusedShare is the share of requests within their team's rate that was
	// refused.
	WronglyRefusedShare float64 `json:"wrong"`
	// ExcessRefusedShare is the share of all requests that was refused beyond the
	// unavoidable refusals of each team.
	ExcessRefusedShare float64        `json:"excess"`
	Refusals           []Refusal      `json:"refusals"`
	Errors             map[string]int `json:"errors"`
	Teams              []TeamReport   `json:"teams"`
	Classes            []ClassReport  `json:"levels"`
	// HitRateAfterRestart and HitRateBeforeRestart are the cache hit rates of the
	// requests within restartWindow after and before a FaultRestartAll. Both are 0
	// without one.
	HitRateAfterRestart  float64 `json:"early"`
	HitRateBeforeRestart float64 `json:"steady"`
}

// Bounds of the recorded times in microseconds, and their precision.
const (
	histogramMinMicros         = 1
	histogramMaxMicros         = int64(2 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits)
}

func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// promptTokens counts prompt tokens and those of them that were cached.
type promptTokens struct{ total, cached int }

func (h *promptTokens) add(r Reply) {
	if r.Usage != nil {
		h.total += r.Usage.PromptTokens
		h.cached += r.Usage.PromptDetails.CachedTokens
	}
}

func (h promptTokens) hitRate() float64 { return float64(h.cached) / float64(max(1, h.total)) }

// tally collects the outcomes of a run.
type tally struct {
	allTokens promptTokens
	firstText *hdrhistogram.Histogram
	errors    map[string]int
	teams     map[string]*teamTally
	classes   map[string]*promptTokens
	refusals  []Refusal
	// debits holds what each model request takes from its team if it runs, by request
	// id.
	debits        map[string]debit
	restartAt     time.Duration
	afterRestart  promptTokens
	beforeRestart promptTokens
}

// teamTally collects the outcomes of one team.
type teamTally struct {
	TeamReport
	firstText *hdrhistogram.Histogram
	// dueTokens is the number of tokens requested within the team's rate and burst, and
	// servedTokens is how many of them were served.
	servedTokens, dueTokens float64
}

func newTally(l RunOptions, doc config.Document) *tally {
	t := &tally{
		firstText: newHistogram(), errors: make(map[string]int),
		debits: make(map[string]debit), teams: make(map[string]*teamTally), classes: make(map[string]*promptTokens),
	}
	for _, f := range l.Faults {
		if f.kind == FaultRestartAll {
			t.restartAt = f.at
		}
	}
	for _, d := range doc.Teams {
		t.teams[d.Name] = &teamTally{
			TeamReport: TeamReport{Team: d.Name}, firstText: newHistogram(),
		}
	}
	return t
}

func (t *tally) add(a arrival, intended time.Time, reply Reply, err error) {
	one := t.teams[a.class.team]
	one.Offered++
	if a.class.path == "" {
		t.debits[reply.RequestID] = debit{team: a.class.team, tokens: a.tokens(), endedAt: reply.EndedAt.Sub(intended) + a.at}
	}
	if a.withinRate {
		one.dueTokens += a.tokens()
	}
	switch {
	case err != nil:
		one.Failed++
		t.errors[rootMessage(err)]++
	case !reply.OK():
		t.addRefused(one, a, intended, reply)
	default:
		t.addServed(one, a, intended, reply)
	}
}

// rootMessage returns the message of the innermost wrapped error, which holds no
// details of the request.
func rootMessage(err error) string {
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err.Error()
}

func (t *tally) addRefused(one *teamTally, a arrival, intended time.Time, reply Reply) {
	one.Refused++
	kind := http.StatusText(reply.Status)
	if reply.Error != nil {
		kind = reply.Error.Type
	}
	t.errors[kind]++
	if a.withinRate {
		one.WronglyRefused++
	}
	if a.class.path != "" {
		return
	}
	t.refusals = append(t.refusals, Refusal{
		Team: a.class.team, Kind: kind, ArrivedMillis: toMillis(a.at), EndedMillis: toMillis(reply.EndedAt.Sub(intended) + a.at),
		Tokens: a.tokens(), WithinRate: a.withinRate,
	})
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// debits returns the tokens that the requests that ran took from their teams.
func (r *run) debits() []debit {
	var out []debit
	for _, name := range sortedKeys(r.cluster.Engines) {
		for _, s := range r.cluster.Engines[name].Counts().Starts {
			d, ok := r.tally.debits[s.RequestID]
			if !ok {
				continue
			}
			d.arrivedAt = time.UnixMicro(s.ArrivedMicros).Sub(r.startedAt)
			out = append(out, d)
			delete(r.tally.debits, s.RequestID)
		}
	}
	return out
}

// restartWindow is how long before and after a FaultRestartAll hit rates are measured
// for comparison.
const restartWindow = 3 * time.Second

func (t *tally) addServed(one *teamTally, a arrival, intended time.Time, reply Reply) {
	one.Served++
	if a.class.path != "" {
		return
	}
	t.allTokens.add(reply)
	if !a.withinRate {
		return
	}
	wait := reply.FirstTextAt.Sub(intended).Microseconds()
	_ = t.firstText.RecordValue(wait)
	_ = one.firstText.RecordValue(wait)
	one.servedTokens += a.tokens()
	if t.classes[a.class.name] == nil {
		t.classes[a.class.name] = &promptTokens{}
	}
	t.classes[a.class.name].add(reply)
	if t.restartAt > 0 && a.at >= t.restartAt && a.at < t.restartAt+restartWindow {
		t.afterRestart.add(reply)
	}
	if t.restartAt > 0 && a.at < t.restartAt && a.at >= t.restartAt-restartWindow {
		t.beforeRestart.add(reply)
	}
}

func (r *run) report() *Report {
	t := r.tally
	out := &Report{
		Profile: r.options.Profile.name, Policy: r.options.Policy, Seed: r.options.Seed,
		HitRate: t.allTokens.hitRate(), P50: quantileMillis(t.firstText, 50), P95: quantileMillis(t.firstText, 95), P99: quantileMillis(t.firstText, 99),
		WorstServedShare: 1, Errors: t.errors, HitRateAfterRestart: t.afterRestart.hitRate(), HitRateBeforeRestart: t.beforeRestart.hitRate(),
	}
	prompt, wrong, withinRate, excess := 0, 0, 0, 0
	for _, e := range r.cluster.Engines {
		prompt += e.Counts().PromptTokens
	}
	out.RecomputedShare = float64(r.computed.RecomputedTokens()) / float64(max(1, prompt))
	for _, name := range sortedKeys(t.teams) {
		one := t.teams[name].finish()
		out.Teams = append(out.Teams, one)
		out.Offered += one.Offered
		out.Served += one.Served
		wrong += one.WronglyRefused
		withinRate += one.WronglyRefused + one.Served
		excess += max(0, one.Refused-one.Unavoidable)
		out.WorstServedShare = min(out.WorstServedShare, one.ServedShare)
	}
	out.WronglyRefusedShare = float64(wrong) / float64(max(1, withinRate))
	out.Refusals = t.refusals
	setBucketLevels(r.cluster.Document(), r.debits(), out.Refusals)
	out.ExcessRefusedShare = float64(excess) / float64(max(1, out.Offered))
	for _, name := range sortedKeys(t.classes) {
		out.Classes = append(out.Classes, ClassReport{Class: name, HitRate: t.classes[name].hitRate()})
	}
	return out
}

func (one *teamTally) finish() TeamReport {
	one.P50, one.P99 = quantileMillis(one.firstText, 50), quantileMillis(one.firstText, 99)
	one.ServedShare = 1
	if one.dueTokens > 0 {
		one.ServedShare = min(1, one.servedTokens/one.dueTokens)
	}
	return one.TeamReport
}

// Print writes the reports as tables: the measurements of all runs, then the teams and
// the classes of each run.
func Print(w io.Writer, reports []*Report) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printf("%-12s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s", "policy", "offered", "served", "hit %", "p50 ms", "p95 ms", "p99 ms", "waste %", "worst %", "wrong %", "excess %")
	for _, r := range reports {
		printf("%-12s %8d %8d %8.2f %8.1f %8.1f %8.1f %8.2f %8.1f %8.2f %8.2f", r.Policy, r.Offered, r.Served,
			100*r.HitRate, r.P50, r.P95, r.P99, 100*r.RecomputedShare, 100*r.WorstServedShare, 100*r.WronglyRefusedShare, 100*r.ExcessRefusedShare)
	}
	for _, r := range reports {
		printf("\n%s, %s, seed %d; refusals and errors: %v", r.Profile, r.Policy, r.Seed, r.Errors)
		if r.HitRateBeforeRestart > 0 {
			printf("hit rate before the herd restart %.2f %%, after it %.2f %%", 100*r.HitRateBeforeRestart, 100*r.HitRateAfterRestart)
		}
		printf("%-14s %8s %8s %8s %8s %8s %8s %8s %8s", "team", "offered", "served", "refused", "must", "wrong", "share %", "p50 ms", "p99 ms")
		for _, t := range r.Teams {
			printf("%-14s %8d %8d %8d %8d %8d %8.1f %8.1f %8.1f", t.Team, t.Offered, t.Served, t.Refused, t.Unavoidable, t.WronglyRefused, 100*t.ServedShare, t.P50, t.P99)
		}
		for _, l := range r.Classes {
			printf("  hit rate of %-14s %6.2f %%", l.Class, 100*l.HitRate)
		}
	}
}
