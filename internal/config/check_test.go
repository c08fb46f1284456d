package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `{
  // one item of each section
  "zones": [{"name": "a", "weight": 0.5}, {"name": "b", "weight": 0.5}],
  "models": [{"name": "m", "version": "v1", "bytes": 3, "limit": 100}],
  "engines": [{"name": "e", "zone": "a", "address": "10.0.0.1:9", "model": "m", "slots": 4}],
  "services": [{"name": "s", "servers": [{"name": "s1", "zone": "b", "address": "10.0.0.2:9"}]}],
  "teams": [{"name": "t", "rate": 10, "burst": 20}],
  "routes": [
    {"name": "r", "model": "m", "deadline": "10s"},
    {"name": "q", "service": "s", "path": "/s/", "once": true},
  ],
}`

func TestReadReportsAllProblems(t *testing.T) {
	tests := []struct {
		give string
		old  string
		new  string
		want []string
	}{
		{give: "valid"},
		{give: "unknown field", old: `"slots": 4`, new: `"slot": 4`, want: []string{"f:5: engines[0].slot: unknown field"}},
		{give: "duplicate field", old: `"slots": 4`, new: `"slots": 4, "slots": 5`, want: []string{"f:5: engines[0].slots: duplicate field"}},
		{give: "wrong type", old: `"rate": 10`, new: `"rate": "ten"`, want: []string{"f:7: teams[0].rate: not a number"}},
		{give: "null", old: `"rate": 10`, new: `"rate": null`, want: []string{"f:7: teams[0].rate: not a number"}},
		{give: "bad duration", old: `"10s"`, new: `"soon"`, want: []string{"f:9: routes[0].deadline"}},
		{give: "duration with a unit", old: `"10s"`, new: `{"s": 10}`, want: []string{"f:9: routes[0].deadline: not a string"}},
		{give: "rate of zero", old: `"rate": 10`, new: `"rate": 0`, want: []string{"f:7: teams[0].rate: not above zero"}},
		{give: "duplicate name", old: `"name": "b", "weight"`, new: `"name": "a", "weight"`, want: []string{`f:3: zones[1].name: duplicate name "a"`, `no zone "b"`}},
		{give: "dangling reference", old: `"zone": "a"`, new: `"zone": "x"`, want: []string{`f:5: engines[0].zone: no zone "x"`}},
		{give: "bad address", old: `10.0.0.1:9`, new: `host:9`, want: []string{"f:5: engines[0].address"}},
		{give: "overlapping routes", old: `{"name": "q"`, new: `{"name": "q2", "service": "s", "path": "/s/x"}, {"name": "q"`, want: []string{"routes[2].path: overlaps route q2"}},
		{give: "reserved path", old: `"/s/"`, new: `"/v1/s"`, want: []string{"f:10: routes[1].path: overlaps /v1/"}},
		{give: "once on a model", old: `"deadline": "10s"`, new: `"once": true`, want: []string{"f:9: routes[0].model"}},
		{give: "once on an open route", old: `"once": true`, new: `"once": true, "open": true`, want: []string{"f:10: routes[1].open"}},
		{give: "wait beyond the deadline", old: `"deadline": "10s"`, new: `"deadline": "1s", "wait": "2s"`, want: []string{"f:9: routes[0].wait"}},
		{give: "sum of weights", old: `"name": "b", "weight": 0.5`, new: `"name": "b", "weight": 0.6`, want: []string{"f:3: zones: weights sum to 1.1"}},
		{give: "unknown queue order", old: `"zones"`, new: `"policy": {"first": "largest"}, "zones"`, want: []string{`policy.first: unknown value "largest"`}},
		{give: "syntax error", old: `"zones"`, new: `zones`, want: []string{"correct the JSON"}},
		{
			give: "several problems", old: `"rate": 10, "burst": 20`, new: `"rate": 0, "burst": -1`,
			want: []string{"teams[0].rate", "teams[0].burst"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			require.True(t, tt.old == "" || strings.Contains(valid, tt.old))
			_, problems := Read("f", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			require.Len(t, problems, len(tt.want), "%v", problems)
			for i, want := range tt.want {
				require.Contains(t, problems[i].String(), want)
			}
		})
	}
}

// TestSyntaxErrorsNameLineAndCause guards against messages that give line 1 and an empty
// field for every syntax error, and that leave the operator to find out that a template
// was not filled in.
func TestSyntaxErrorsNameLineAndCause(t *testing.T) {
	tests := []struct {
		give   string
		source string
		want   string
	}{
		{give: "missing comma", source: "{\n  \"a\": 1\n  \"b\": 2\n}", want: "f:3: column 3: invalid character '\"' after object value (expecting ',' or '}'); correct the JSON"},
		{
			give: "section of a template", source: "{\n  \"a\": 1{{#x.y}},\n  \"b\": 2{{/x.y}}\n}",
			want: `f:2: column 9: the placeholder "{{#x.y}}" of the template has not been filled in; check the program that renders the settings`,
		},
		{
			give: "placeholder of a template", source: `{"a": {{x|json}}}`,
			want: `f:1: column 7: the placeholder "{{x|json}}" of the template has not been filled in; check the program that renders the settings`,
		},
		{give: "empty file", source: "", want: "f:1: column 1: parsing value: unexpected EOF; correct the JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			var out struct {
				A int `json:"a"`
				B int `json:"b"`
			}
			require.EqualError(t, ReadSettings("f", []byte(tt.source), &out), tt.want)
		})
	}
}

// TestNullInSettingsCountsAsAbsent guards against processes that do not start because the
// platform states no value for a field.
func TestNullInSettingsCountsAsAbsent(t *testing.T) {
	type part struct {
		Number int `json:"number"`
	}
	type settings struct {
		Text    string   `json:"text"`
		Number  float64  `json:"number"`
		Flag    bool     `json:"flag"`
		List    []string `json:"list"`
		Time    Duration `json:"time"`
		Part    part     `json:"part"`
		Pointer *part    `json:"pointer"`
	}
	defaults := settings{Text: "a", Number: 1, Flag: true, List: []string{"b"}, Time: 2, Part: part{3}, Pointer: &part{4}}
	tests := []struct {
		give   string
		source string
		want   string
	}{
		{give: "all fields", source: `{"text": null, "number": null, "flag": null, "list": null, "time": null, "part": null, "pointer": null}`},
		{give: "with comments and trailing commas", source: "{\"text\": null, // a comment\n\"part\": {\"number\": null,},}"},
		{give: "in a list", source: `{"list": ["c", null]}`, want: "f:1: list[1]: not a string; write a string"},
		{give: "unknown field", source: `{"other": null}`, want: "f:1: other: unknown field; use one of flag, list, number, part, pointer, text, time"},
		{give: "file", source: "null", want: "f:1: not an object; write an object in braces"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			got := defaults
			err := ReadSettings("f", []byte(tt.source), &got)
			if tt.want != "" {
				require.EqualError(t, err, tt.want)
				return
			}
			require.NoError(t, err)
			require.Equal(t, defaults, got)
		})
	}
}

func TestDurationsInSettings(t *testing.T) {
	tests := []struct {
		give    string
		want    time.Duration
		problem string
	}{
		{give: `"1.5s"`, want: 1500 * time.Millisecond},
		{give: `{"ms": 1500}`, want: 1500 * time.Millisecond},
		{give: `{"ms": 15e2}`, want: 1500 * time.Millisecond},
		{give: `{"s": 1.5, /* a comment */}`, want: 1500 * time.Millisecond},
		{give: `{"s": 0}`},
		{give: `{"ms": null}`, want: time.Minute},
		{give: `{}`, want: time.Minute},
		{give: `null`, want: time.Minute},
		{give: `{"ms": 1, "s": 1}`, problem: "f:1: time: config: duration: more than one unit"},
		{give: `{"h": 1}`, problem: `f:1: time: config: duration: json: unknown field "h"`},
		{give: `{"ms": "1"}`, problem: "f:1: time: config: duration: json: cannot unmarshal"},
		{give: `{"s": 1e300}`, problem: "f:1: time: config: duration: out of range"},
		{give: `1500`, problem: "f:1: time: not a string"},
		{give: `"ms"`, problem: "f:1: time: config: duration: time: invalid duration"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			got := struct {
				Time Duration `json:"time"`
			}{Duration(time.Minute)}
			err := ReadSettings("f", []byte(`{"time": `+tt.give+`}`), &got)
			if tt.problem != "" {
				require.ErrorContains(t, err, tt.problem)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, time.Duration(got.Time))
		})
	}
}

func TestDiffAppliedYieldsDocument(t *testing.T) {
	doc, problems := Read("f", []byte(valid))
	require.Empty(t, problems)
	c := Empty().with(Delta{Set: doc})
	require.True(t, c.Diff(doc).Empty())
	other := doc
	other.Teams = []Team{{Name: "u", Rate: 1, Burst: 1}}
	other.Policy = &Policy{MaxProofAge: 5}
	d := c.Diff(other)
	require.Equal(t, []string{"t"}, d.Drop.Teams)
	next := c.with(d)
	require.True(t, next.Diff(other).Empty())
	_, kept := next.Teams().Get("t")
	require.False(t, kept)
	_, still := c.Teams().Get("t")
	require.True(t, still, "applying a delta must not modify the previous generation")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"routes":[{"path":"/"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, problems := Read("f", raw)
		if len(problems) > 0 {
			return
		}
		require.Empty(t, Check(doc))
	})
}

func TestZoneShares(t *testing.T) {
	c := Empty().with(Delta{Set: Document{Zones: []Zone{
		{Name: "a", Region: "north", Weight: 0.2}, {Name: "b", Region: "north", Weight: 0.2}, {Name: "c", Region: "south", Weight: 0.6},
	}}})
	tests := []struct {
		give string
		team Team
		want map[string]float64
	}{
		{give: "all regions", want: map[string]float64{"a": 0.2, "b": 0.2, "c": 0.6}},
		{give: "one region", team: Team{Region: "north"}, want: map[string]float64{"a": 0.5, "b": 0.5, "c": 0}},
		{give: "unknown region", team: Team{Region: "west"}, want: map[string]float64{"a": 0, "b": 0, "c": 0}},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			for zone, want := range tt.want {
				require.InDelta(t, want, c.ZoneShare(tt.team, zone), 1e-9, zone)
			}
		})
	}
}
