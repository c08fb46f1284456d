package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/marjoramrock/marjoramrock/internal/config"
	fleetpkg "github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

// maxPropagationTime bounds the time until a committed configuration is in force
// on every reachable VM.
const maxPropagationTime = 5 * time.Second

// statusRead is the read of a VM's generation from its status.
type statusRead struct{ vm string }

// commitResult is the result of an operator's commit: the committed generation,
// or 0 if nothing was committed.
type commitResult struct {
	generation     uint64
	outcomeUnknown bool
}

// headModel models the head as a compare-and-set register. A commit whose outcome
// is unknown may or may not have increased it by one.
var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, _, output any) []any {
		head, got := state.(uint64), output.(commitResult)
		switch {
		case got.outcomeUnknown:
			return []any{head, head + 1}
		case got.generation == 0:
			return []any{head}
		case got.generation == head+1:
			return []any{head + 1}
		}
		return nil
	},
}).ToModel()

// monotonicModel models the generation of each VM as a register that never
// decreases.
var monotonicModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byVM := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(statusRead).vm
			byVM[name] = append(byVM[name], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byVM {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) >= state.(uint64), output
	},
}

// addTeam returns an edit that adds a team. Edits with different names don't
// conflict with each other.
func addTeam(name string) operator.Edit {
	return func(*config.Config) (config.Delta, error) {
		return config.Delta{Set: config.Document{Teams: []config.Team{{Name: name, Rate: 1, Burst: 1}}}}, nil
	}
}

func TestConfigurationIsMonotonicUnderFaults(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4})
	commits, reads := &history{}, &history{}
	var committed sync.Map
	var serial atomic.Int64
	faults := []fault{freezeRouter, losePlatformWriteResponses, slowPlatform, stopPlatform, partitionRandomZone, cutPlatformLink}
	runUnderFaults(t, f, 700*time.Millisecond, faults, 8, func(i int, r *rand.Rand) {
		began := time.Now()
		if i < 4 {
			s, err := f.status(f.vms[i])
			if err == nil {
				reads.add(i, statusRead{vm: f.vms[i].name}, s.Generation, began, time.Now())
			}
			time.Sleep(5 * time.Millisecond)
			return
		}
		name := fmt.Sprintf("team-%d", serial.Add(1))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(300+r.IntN(700))*time.Millisecond)
		defer cancel()
		c, err := operator.Commit(ctx, f.platformClient, addTeam(name))
		var race *operator.ConflictError
		switch {
		case err == nil:
			committed.Store(name, c.Generation())
			commits.add(i, name, commitResult{generation: c.Generation()}, began, time.Now())
		case errors.As(err, &race) || !errors.Is(err, platform.ErrOutcomeUnknown):
			commits.add(i, name, commitResult{}, began, time.Now())
		default:
			commits.add(i, name, commitResult{outcomeUnknown: true}, began, time.Now().Add(time.Hour))
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	})
	now, _, _, err := operator.ReadConfig(context.Background(), f.platformClient)
	require.NoError(t, err)
	f.awaitGeneration(now.Generation(), maxPropagationTime)
	acceptedCount := 0
	committed.Range(func(name, _ any) bool {
		acceptedCount++
		_, present := now.Teams().Get(name.(string))
		require.True(t, present, "accepted change %s was lost", name)
		return true
	})
	require.Greater(t, acceptedCount, 3)
	t.Logf("%d of %d commits accepted, %d reads, head %d", acceptedCount, len(commits.ops), len(reads.ops), now.Generation())
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(headModel, commits.ops, time.Minute))
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(monotonicModel, reads.ops, time.Minute))
}

func TestConfigurationReachesRestartedRouters(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4})
	for i := range 3 {
		undo := killRouter(f, rand.New(rand.NewPCG(*faultSeed, uint64(i))))
		c, err := operator.Commit(context.Background(), f.platformClient, addTeam(fmt.Sprintf("t-%d", i)))
		require.NoError(t, err)
		undo()
		f.awaitGeneration(c.Generation(), maxPropagationTime)
	}
}

func TestConcurrentCommitsReportConflicts(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 1})
	var accepted, conflicts atomic.Int64
	parallel(8, func(i int) {
		_, err := operator.Commit(context.Background(), f.platformClient, addTeam(fmt.Sprintf("race-%d", i)))
		var race *operator.ConflictError
		switch {
		case err == nil:
			accepted.Add(1)
		case errors.As(err, &race):
			conflicts.Add(1)
			require.NotEmpty(t, race.Changed, "a conflict reports what changed")
		default:
			require.NoError(t, err)
		}
	})
	require.Equal(t, int64(8), accepted.Load()+conflicts.Load())
	now, _, _, err := operator.ReadConfig(context.Background(), f.platformClient)
	require.NoError(t, err)
	require.Equal(t, uint64(1+accepted.Load()), now.Generation())
	_, err = operator.Commit(context.Background(), f.platformClient, operator.ReplaceConfig(f.doc, now.Generation()-1))
	require.ErrorIs(t, err, operator.ErrGenerationMismatch)
}

// maxTimeToFirstResponse bounds the time from the start of a restarted router to
// its first response.
const maxTimeToFirstResponse = time.Second

func TestRestartedRouterServesFromPeers(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1})
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	v := f.vms[0]
	f.kill(v)
	f.writeSettings(v, []string{f.vms[1].peerAddress, f.vms[2].peerAddress})
	began := time.Now()
	f.startRouter(v)
	for {
		reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
		if err == nil && reply.Status == http.StatusOK {
			break
		}
		require.Less(t, time.Since(began), maxTimeToFirstResponse, "%v %+v", err, reply.Error)
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("first response after %v", time.Since(began))
	require.Less(t, time.Since(began), maxTimeToFirstResponse)
}

// TestMalformedRowsAreIgnored overwrites the head of the configuration and a slot
// with rows that cannot be parsed. The routers must keep their configuration and
// serve requests, and take the next generation once the head is restored.
func TestMalformedRowsAreIgnored(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 2, enginesPerZone: 1})
	ctx := context.Background()
	head, err := f.platformClient.Get(ctx, router.HeadKey())
	require.NoError(t, err)
	malformed := platform.Write{Key: router.HeadKey(), ExpectedVersion: head.Version, Data: []byte(`{"generation":`)}
	require.NoError(t, f.platformClient.Commit(ctx, platform.NewToken(), malformed))
	rows, err := f.platformClient.List(ctx, fleetpkg.SlotGroup("zone-a"))
	require.NoError(t, err)
	malformed = platform.Write{Key: rows[0].Key, ExpectedVersion: rows[0].Version, Data: []byte("{")}
	require.NoError(t, f.platformClient.Commit(ctx, platform.NewToken(), malformed))
	time.Sleep(2 * time.Second)
	for _, v := range f.vms {
		s, err := f.status(v)
		require.NoError(t, err)
		require.Equal(t, uint64(1), s.Generation)
		reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
		require.NoError(t, err)
		require.True(t, reply.OK(), "%+v", reply.Error)
	}
	restored := platform.Write{Key: router.HeadKey(), ExpectedVersion: head.Version + 1, Data: head.Data}
	require.NoError(t, f.platformClient.Commit(ctx, platform.NewToken(), restored))
	c, err := operator.Commit(ctx, f.platformClient, addTeam("after"))
	require.NoError(t, err)
	f.awaitGeneration(c.Generation(), maxPropagationTime)
}
