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

// setModelVersion commits another version of the model's weights.
func (f *fleet) setModelVersion(version string) {
	f.t.Helper()
	c, err := operator.Commit(context.Background(), f.platformClient, func(c *config.Config) (config.Delta, error) {
		m, _ := c.Models().Get(modelName)
		m.Version = version
		return config.Delta{Set: config.Document{Models: []config.Model{m}}}, nil
	})
	require.NoError(f.t, err)
	f.awaitGeneration(c.Generation(), maxPropagationTime)
}

// TestCacheEntriesAreIsolated sends the same prompts for two teams while engines
// restart and the weights change. No cached block may be reused under another salt,
// version or incarnation of the engine.
func TestCacheEntriesAreIsolated(t *testing.T) {
	f := newFleet(t, fleetOptions{
		routers: 4, enginesPerZone: 2,
		engineOptions: standin.EngineOptions{DecodePerToken: time.Millisecond, WeightLoadTime: 200 * time.Millisecond, SupportsFencing: true},
	})
	parts := []string{strings.Repeat("common ", 2000), strings.Repeat("section ", 2000), "note"}
	names := []string{teamLarge, "team-two"}
	f.keys["team-two"] = f.addTeamWithKey("team-two")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	completeByVersion := map[string]int{}
	var changed atomic.Bool
	for i := range 8 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(*faultSeed, uint64(i)))
			for !sleepOrStop(stop, 5*time.Millisecond) {
				after := changed.Load()
				reply, err := f.requestModel(randomVM(f, r), names[i%2], trial.ModelRequest{Messages: parts, MaxTokens: 10})
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
					require.Equal(t, "v2", version, "a response from older weights than the version in force")
				}
				mu.Lock()
				completeByVersion[version]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range f.engines {
		e.Restart()
		time.Sleep(100 * time.Millisecond)
	}
	f.setModelVersion("v2")
	changed.Store(true)
	f.awaitVersion("v2")
	time.Sleep(500 * time.Millisecond)
	close(stop)
	callers.Wait()
	t.Logf("complete responses by version: %v", completeByVersion)
	require.Zero(t, completeByVersion[""], "a response mixes weights or requests")
	require.Positive(t, completeByVersion["v1"])
	require.Positive(t, completeByVersion["v2"])
	for _, name := range names {
		require.NotEmpty(t, f.startedRequests(name), "no request ran under the cache salt of %s", name)
	}
	cached := 0
	for name, e := range f.engines {
		c := e.Counts()
		require.Empty(t, c.InvalidReuses, name)
		cached += c.CachedTokens
	}
	require.Positive(t, cached, "no cached token was reused, so the test checks nothing")
}

// addTeamWithKey commits a team and a key of the same name and returns the key's
// secret.
func (f *fleet) addTeamWithKey(name string) string {
	secret, digest, err := operator.NewSecret()
	require.NoError(f.t, err)
	c, err := operator.Commit(context.Background(), f.platformClient, func(*config.Config) (config.Delta, error) {
		return config.Delta{Set: config.Document{
			Teams: []config.Team{{Name: name, Rate: 1e6, Burst: 1e7}},
			Keys:  []config.Key{{Name: name, Team: name, Digest: digest}},
		}}, nil
	})
	require.NoError(f.t, err)
	f.awaitGeneration(c.Generation(), maxPropagationTime)
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
