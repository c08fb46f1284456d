package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

// maxWithdrawalTime bounds the time until a withdrawn key is refused on every
// reachable VM.
const maxWithdrawalTime = 3 * time.Second

func slowEngineOptions() standin.EngineOptions {
	return standin.EngineOptions{DecodePerToken: 20 * time.Millisecond, Slots: 64}
}

// withdrawKey withdraws a key and returns the time at which this was committed.
func (f *fleet) withdrawKey(name string) time.Time {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := operator.RevokeKey(ctx, f.platformClient, name)
	require.NoError(f.t, err)
	return time.Now()
}

func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	tests := []struct {
		give string
		cut  func(f *fleet)
	}{
		{give: "all links up", cut: func(*fleet) {}},
		{give: "platform links of one zone cut, peers reachable", cut: func(f *fleet) {
			for _, v := range f.vms {
				if v.zone == "zone-b" {
					f.setLinkFaults(v, router.CutLinks{Platform: true})
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1, engineOptions: slowEngineOptions()})
			tt.cut(f)
			replies := make([]trial.Reply, len(f.vms))
			ended := make([]time.Time, len(f.vms))
			var streams sync.WaitGroup
			for i, v := range f.vms {
				streams.Go(func() {
					replies[i], _ = f.requestModel(v, teamLarge, trial.ModelRequest{Messages: []string{"note"}, MaxTokens: 1000})
					ended[i] = time.Now()
				})
			}
			require.Eventually(t, func() bool { return f.runningRequests() == len(f.vms) }, 10*time.Second, 10*time.Millisecond)
			withdrawnAt := f.withdrawKey(teamLarge)
			streams.Wait()
			for i := range f.vms {
				require.NotNil(t, replies[i].Error, "an open stream did not end with an error event")
				require.Equal(t, "unauthorized", replies[i].Error.Type)
				require.False(t, replies[i].Done, "a stream ended by a withdrawal is marked done")
				require.Less(t, ended[i].Sub(withdrawnAt), maxWithdrawalTime)
			}
			time.Sleep(time.Until(withdrawnAt.Add(maxWithdrawalTime)))
			for _, v := range f.vms {
				reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
				require.NoError(t, err)
				require.Equal(t, http.StatusUnauthorized, reply.Status)
			}
		})
	}
}

// runningRequests returns the number of requests running on all engines.
func (f *fleet) runningRequests() int {
	n := 0
	for _, e := range f.engines {
		n += e.Counts().Running
	}
	return n
}

func TestPartitionedZoneServesKeysUntilStaleLimit(t *testing.T) {
	const stale = 3 * time.Second
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1, editDeployment: func(d *declare.Deployment) { d.Stale(stale) }})
	f.partitionZone("zone-b")
	cutAt := time.Now()
	f.withdrawKey(teamLarge)
	ask := func(v *vm) int {
		reply, err := f.requestModel(v, teamSmall, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
		require.NoError(t, err)
		return reply.Status
	}
	require.Equal(t, http.StatusOK, ask(f.vms[1]), "a partitioned zone serves its keys within the limit")
	time.Sleep(time.Until(cutAt.Add(stale + time.Second)))
	for _, v := range f.vms {
		reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
		require.NoError(t, err)
		require.NotEqual(t, http.StatusOK, reply.Status, "%s serves a withdrawn key", v.name)
		require.Equal(t, http.StatusOK, f.sendCall(v, "GET", "/open", "", "", "", nil).status, "open routes are still served")
	}
	require.Equal(t, http.StatusServiceUnavailable, ask(f.vms[1]))
	f.restoreLinks()
	require.Eventually(t, func() bool { return ask(f.vms[1]) == http.StatusOK }, 10*time.Second, 50*time.Millisecond)
}

func TestFrozenRouterChecksKeysBeforeItAdmits(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 2, enginesPerZone: 1})
	f.freeze(f.vms[0])
	f.withdrawKey(teamLarge)
	asked := make(chan trial.Reply, 8)
	for range cap(asked) {
		go func() {
			reply, _ := f.requestModel(f.vms[0], teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
			asked <- reply
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	f.thaw(f.vms[0])
	for range cap(asked) {
		reply := <-asked
		require.Equal(t, http.StatusUnauthorized, reply.Status, "the key was withdrawn while the router was frozen")
	}
	for _, e := range f.engines {
		require.Zero(t, e.Counts().Requests)
	}
}

func TestKeyIsNotForwardedToBackends(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 1, enginesPerZone: 1})
	secret := standin.CanarySecret + "0123456789"
	_, err := operator.Commit(context.Background(), f.platformClient, func(*config.Config) (config.Delta, error) {
		key := config.Key{Name: "planted", Team: teamLarge, Digest: operator.Digest(secret)}
		return config.Delta{Set: config.Document{Keys: []config.Key{key}}}, nil
	})
	require.NoError(t, err)
	f.awaitGeneration(2, 5*time.Second)
	headers := map[string]string{}
	for _, name := range []string{"X-Api-Key", "Api-Key", "Cookie", "Proxy-Authorization", "X-Forwarded-Authorization", "X-Anything", "Referer", "User-Agent", "Forwarded"} {
		headers[name] = "token=" + secret
	}
	model := `{"model":"atlas","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
	require.Equal(t, http.StatusOK, f.sendCall(f.vms[0], "POST", "/v1/chat/completions?api_key="+secret, secret, "", model, headers).status)
	for _, path := range []string{"/bookings?key=" + secret, "/lookups/a?" + secret + "=1", "/lookups/a?token=" + secret} {
		got := f.sendCall(f.vms[0], "POST", path, secret, "once", "x", headers)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	for name, e := range f.engines {
		require.Empty(t, e.Counts().SecretLeaks, name)
	}
	for name, s := range f.services {
		require.Zero(t, s.Counts().SecretLeaks, name)
	}
}

// TestRequestsRunOnlyForTheTeamOfTheirKey moves a key between two teams under load.
// Each request must run for a team that the key belonged to at some time during
// the call.
func TestRequestsRunOnlyForTheTeamOfTheirKey(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1})
	secret, digest, err := operator.NewSecret()
	require.NoError(t, err)
	f.keys["moving"] = secret
	teams := []string{teamLarge, "other"}
	type membership struct {
		team        string
		from, until time.Time
	}
	var memberships []membership
	moveKey := func(name string) {
		began := time.Now()
		c, err := operator.Commit(context.Background(), f.platformClient, func(*config.Config) (config.Delta, error) {
			set := config.Document{
				Teams: []config.Team{{Name: "other", Rate: 1e6, Burst: 1e7}},
				Keys:  []config.Key{{Name: "moving", Team: name, Digest: digest}},
			}
			return config.Delta{Set: set}, nil
		})
		require.NoError(t, err)
		f.awaitGeneration(c.Generation(), 5*time.Second)
		if len(memberships) > 0 {
			memberships[len(memberships)-1].until = time.Now()
		}
		memberships = append(memberships, membership{team: name, from: began, until: time.Now().Add(time.Hour)})
	}
	moveKey(teams[0])
	type completedRequest struct {
		requestID    string
		began, ended time.Time
	}
	var mu sync.Mutex
	var completed []completedRequest
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, v := range f.vms {
		callers.Go(func() {
			for !sleepOrStop(stop, time.Millisecond) {
				began := time.Now()
				reply, err := f.requestModel(v, "moving", trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 2})
				if err == nil && reply.OK() {
					mu.Lock()
					completed = append(completed, completedRequest{reply.RequestID, began, time.Now()})
					mu.Unlock()
				}
			}
		})
	}
	for i := range 6 {
		time.Sleep(200 * time.Millisecond)
		moveKey(teams[(i+1)%2])
	}
	close(stop)
	callers.Wait()
	ran := map[string]string{}
	for _, e := range f.engines {
		for _, s := range e.Counts().Starts {
			for _, name := range teams {
				if s.Salt == (prefix.Scope{Model: modelName, Version: "v1", Team: name}).Salt() {
					ran[s.RequestID] = name
				}
			}
		}
	}
	require.Greater(t, len(completed), 50)
	for _, a := range completed {
		allowed := []string{}
		for _, s := range memberships {
			if s.from.Before(a.ended) && s.until.After(a.began) {
				allowed = append(allowed, s.team)
			}
		}
		require.Contains(t, allowed, ran[a.requestID], fmt.Sprint(a))
	}
	t.Logf("%d requests over %d moves", len(completed), len(memberships)-1)
}

func TestIssuedKeyIsStoredAsDigest(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 1, enginesPerZone: 1})
	secret, c, err := operator.IssueKey(context.Background(), f.platformClient, "fresh", teamLarge)
	require.NoError(t, err)
	raw := fmt.Sprintf("%+v", c.Document())
	require.False(t, strings.Contains(raw, secret))
	require.Contains(t, raw, operator.Digest(secret))
	f.keys["fresh"] = secret
	f.awaitGeneration(c.Generation(), 5*time.Second)
	reply, err := f.requestModel(f.vms[0], "fresh", trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
	require.NoError(t, err)
	require.True(t, reply.OK())
}

func TestQueuedRequestOfWithdrawnKeyDoesNotRun(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 2, enginesPerZone: 1})
	f.exhaustTokens(teamSmall, 500*time.Millisecond)
	waiting := make(chan trial.Reply, 6)
	for i := range cap(waiting) {
		go func() {
			reply, _ := f.requestModel(f.vms[i%2], teamSmall, trial.ModelRequest{Messages: []string{strings.Repeat("x", 3600)}, MaxTokens: 700})
			waiting <- reply
		}()
	}
	f.withdrawKey(teamSmall)
	f.awaitGeneration(2, maxWithdrawalTime)
	before := len(f.startedRequests(teamSmall))
	refused := 0
	for range cap(waiting) {
		if reply := <-waiting; reply.Status != http.StatusOK {
			refused++
		}
	}
	require.Positive(t, refused, "no request was queued, so the test checks nothing")
	require.Len(t, f.startedRequests(teamSmall), before, "a request ran after its key was withdrawn")
}
