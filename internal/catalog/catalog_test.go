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
