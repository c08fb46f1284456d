package e2e

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

// setVersion declares other weights for the model.
func (f *fleet) setVersion(version string) {
	f.t.Helper()
	c, err := operator.Commit(context.Background(), f.client, func(c *config.Config) (config.Delta, error) {
		m, _ := c.Models().Get(modelName)
		m.Version = version
		return config.Delta{Set: config.Document{Models: []config.Model{m}}}, nil
	})
	require.NoError(f.t, err)
	f.generation(c.Generation(), inForceWithin)
}

// TestCacheEntriesStayApart runs two teams with the same prompts while engines
// restart and weights change, and asks the engines what each request reused.
func TestCacheEntriesStayApart(t *testing.T) {
	f := newFleet(t, shape{
		routers: 4, engines: 2,
		engine: standin.EngineOptions{DecodePerToken: time.Millisecond, WeightLoadTime: 200 * time.Millisecond, SupportsFencing: true},
	})
	parts := []string{strings.Repeat("common ", 2000), strings.Repeat("section ", 2000), "note"}
	names := []string{teamLarge, "team-two"}
	f.keys["team-two"] = f.addKeyedTeam("team-two")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	whole := map[string]int{}
	var changed atomic.Bool
	for i := range 8 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(*seed, uint64(i)))
			for !rest(stop, 5*time.Millisecond) {
				after := changed.Load()
				reply, err := f.ask(pickVM(f, r), names[i%2], trial.ModelRequest{Messages: parts, MaxTokens: 10})
				if err != nil || !reply.OK() {
					continue
				}
				version := ""
				for _, v := range []string{"v1", "v2"} {
					if reply.Text == standin.ExpectedText(parts, v, 10) {
						version = v
					}
				}
				if after {
					require.Equal(t, "v2", version, "an answer from older weights than those in force")
				}
				mu.Lock()
				whole[version]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range f.engines {
		e.Restart()
		time.Sleep(100 * time.Millisecond)
	}
	f.setVersion("v2")
	changed.Store(true)
	f.awaitVersion("v2")
	time.Sleep(500 * time.Millisecond)
	close(stop)
	callers.Wait()
	t.Logf("whole answers by version: %v", whole)
	require.Zero(t, whole[""], "an answer mixes weights or requests")
	require.Positive(t, whole["v1"])
	require.Positive(t, whole["v2"])
	for _, name := range names {
		require.NotEmpty(t, f.started(name), "engines keep %s under a salt of its own", name)
	}
	cached := 0
	for name, e := range f.engines {
		c := e.Counts()
		require.Empty(t, c.InvalidReuses, name)
		cached += c.CachedTokens
	}
	require.Positive(t, cached, "nothing was reused: the test proves nothing")
}

func (f *fleet) addKeyedTeam(name string) string {
	secret, digest, err := operator.NewSecret()
	require.NoError(f.t, err)
	c, err := operator.Commit(context.Background(), f.client, func(*config.Config) (config.Delta, error) {
		return config.Delta{Set: config.Document{
			Teams: []config.Team{{Name: name, Rate: 1e6, Burst: 1e7}},
			Keys:  []config.Key{{Name: name, Team: name, Digest: digest}},
		}}, nil
	})
	require.NoError(f.t, err)
	f.generation(c.Generation(), inForceWithin)
	return secret
}

// awaitVersion waits until every engine runs a version.
func (f *fleet) awaitVersion(version string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, e := range f.engines {
			if e.Counts().Version != version {
				return false
			}
		}
		return true
	}, 30*time.Second, 10*time.Millisecond, "not every engine runs %s", version)
}
