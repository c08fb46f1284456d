package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMatchReturnsLongestPrefix(t *testing.T) {
	c := New(1, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, nil)
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.Example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			r := c.Match(tt.host, tt.path)
			if tt.want == "" {
				require.Nil(t, r)
				return
			}
			require.NotNil(t, r)
			require.Equal(t, tt.want, r.Name)
		})
	}
}

func TestTeamByKey(t *testing.T) {
	c := New(1, nil, nil, []*Team{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}})
	require.Equal(t, "a", c.TeamByKey("k2").Name)
	require.Equal(t, "b", c.TeamByKey("k3").Name)
	require.Nil(t, c.TeamByKey("k4"))
	require.Nil(t, c.TeamByKey(""))
	require.True(t, c.RequiresKeys())
}

// A team that becomes isolated must not share what it cached before, whatever changes of
// the configuration led there.
func TestNoTeamSharesPartsWithAnIsolatedTeam(t *testing.T) {
	names := []string{"a", "b", "c"}
	const sets = 1 << 3
	catalogs := make([]*Catalog, sets)
	for set := range catalogs {
		var teams []*Team
		for i, name := range names {
			teams = append(teams, &Team{Name: name, Isolated: set>>i&1 == 1})
		}
		catalogs[set] = New(int64(set), nil, nil, teams)
	}
	for n := range sets * sets * sets * sets {
		makers := make(map[string]map[string]bool)
		for left, step := n, 0; step < 4; left, step = left/sets, step+1 {
			set := left % sets
			for i, user := range names {
				group := catalogs[set].CacheGroup(user)
				for j, maker := range names {
					if i != j && makers[group][maker] {
						require.Zero(t, set>>i&1, "team %s is isolated and uses parts of %s", user, maker)
						require.Zero(t, set>>j&1, "team %s uses parts of %s, which is isolated", user, maker)
					}
				}
			}
			for _, name := range names {
				group := catalogs[set].CacheGroup(name)
				if makers[group] == nil {
					makers[group] = make(map[string]bool)
				}
				makers[group][name] = true
			}
		}
	}
}

// VMs that have the same configuration in force must agree on the groups, whatever they
// had before, and teams that are not isolated must share.
func TestCacheGroup(t *testing.T) {
	c := New(1, nil, nil, []*Team{{Name: "a"}, {Name: "b"}, {Name: "x", Isolated: true}, {Name: "y", Isolated: true}})
	other := New(9, nil, nil, []*Team{{Name: "y", Isolated: true}, {Name: "c"}, {Name: "x", Isolated: true}})
	open := New(1, nil, nil, []*Team{{Name: "a"}, {Name: "x"}})
	tests := []struct {
		name   string
		a, b   string
		shared bool
	}{
		{"two teams", c.CacheGroup("a"), c.CacheGroup("b"), true},
		{"a team and a public route", c.CacheGroup("a"), c.CacheGroup(""), true},
		{"two VMs", c.CacheGroup("a"), other.CacheGroup("c"), true},
		{"an isolated team and another team", c.CacheGroup("x"), c.CacheGroup("a"), false},
		{"two isolated teams", c.CacheGroup("x"), c.CacheGroup("y"), false},
		{"an isolated team on two VMs", c.CacheGroup("x"), other.CacheGroup("x"), true},
		{"a team that is not declared", c.CacheGroup("z"), c.CacheGroup("a"), false},
		{"before a team is isolated", open.CacheGroup("a"), c.CacheGroup("a"), false},
		{"no team is isolated", open.CacheGroup("a"), open.CacheGroup("x"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.shared, tt.a == tt.b, "%q, %q", tt.a, tt.b) })
	}
}

func TestKVCacheStoresAreSortedByAddress(t *testing.T) {
	c := New(1, nil, []*Service{
		{Name: "s2", KVCacheStore: &KVCacheStore{Address: "2", Zone: "b"}},
		{Name: "s3"},
		{Name: "s1", KVCacheStore: &KVCacheStore{Address: "1", Zone: "a"}},
	}, nil)
	require.Len(t, c.KVCacheStores(), 2)
	require.Equal(t, "1", c.KVCacheStores()[0].Address)
}

func TestRepeatable(t *testing.T) {
	tests := []struct {
		name  string
		route Route
		want  bool
	}{
		{"idempotent", Route{Kind: Idempotent}, true},
		{"at most once", Route{Kind: AtMostOnce}, false},
		{"stream", Route{Kind: Stream}, false},
		{"resumable stream", Route{Kind: Stream, Resumable: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, tt.route.Repeatable()) })
	}
}

func TestTrackerIgnoresOlderVersions(t *testing.T) {
	tr := NewTracker()
	require.Nil(t, tr.Current())
	require.True(t, tr.Put(New(3, nil, nil, nil)))
	require.False(t, tr.Put(New(2, nil, nil, nil)))
	require.False(t, tr.Put(New(3, nil, nil, nil)))
	require.Equal(t, int64(3), tr.Current().Version())

	require.True(t, tr.SetTargetVersion("m", 2, 10))
	require.False(t, tr.SetTargetVersion("m", 1, 20))
	target, ok := tr.TargetVersion("m")
	require.True(t, ok)
	require.Equal(t, TargetVersion{Version: 2, LearnedAt: 10}, target)
}

func TestProofAgeUsesNewestRequest(t *testing.T) {
	tr := NewTracker()
	_, ok := tr.ProofAge(5 * time.Second)
	require.False(t, ok)
	tr.RecordProof(3 * time.Second)
	tr.RecordProof(2 * time.Second)
	age, ok := tr.ProofAge(5 * time.Second)
	require.True(t, ok)
	require.Equal(t, 2*time.Second, age)
}

// A version is outdated since the first newer target version became known, not the
// newest, or engines that are two versions behind would seem up to date.
func TestOutdatedSinceUsesFirstNewerVersion(t *testing.T) {
	tr := NewTracker()
	tr.SetTargetVersion("m", 1, 0)
	tr.SetTargetVersion("m", 2, 2*time.Second)
	tr.SetTargetVersion("m", 3, 5*time.Second)
	since, ok := tr.OutdatedSince("m", 1)
	require.True(t, ok)
	require.Equal(t, 2*time.Second, since)
	since, ok = tr.OutdatedSince("m", 2)
	require.True(t, ok)
	require.Equal(t, 5*time.Second, since)
	_, ok = tr.OutdatedSince("m", 3)
	require.False(t, ok)
}

// A process that restarts must take the times of target versions from the stored
// history, or it would use the time of its own first read.
func TestMergeTargetVersionKeepsEarlierTime(t *testing.T) {
	tr := NewTracker()
	tr.SetTargetVersion("m", 3, 100*time.Second)
	tr.MergeTargetVersion("m", 3, 95*time.Second)
	tr.MergeTargetVersion("m", 2, 92*time.Second)
	tr.MergeTargetVersion("m", 3, 97*time.Second)
	since, ok := tr.OutdatedSince("m", 1)
	require.True(t, ok)
	require.Equal(t, 92*time.Second, since)
	since, _ = tr.OutdatedSince("m", 2)
	require.Equal(t, 95*time.Second, since)
	require.Equal(t, []TargetVersion{{2, 92 * time.Second}, {3, 95 * time.Second}}, tr.TargetVersionHistory()["m"])
}
