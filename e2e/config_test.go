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
	slotrows "github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

// inForceWithin is the target for a configuration on every reachable VM.
const inForceWithin = 5 * time.Second

// seenGeneration is a VM's answer to a status question.
type seenGeneration struct{ vm string }

// applied is an operator's answer: the generation committed, or none.
type applied struct {
	generation uint64
	unknown    bool
}

// headModel is a compare-and-set register of the head. An unknown commit may
// or may not have moved it by one.
var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, _, output any) []any {
		head, got := state.(uint64), output.(applied)
		switch {
		case got.unknown:
			return []any{head, head + 1}
		case got.generation == 0:
			return []any{head}
		case got.generation == head+1:
			return []any{head + 1}
		}
		return nil
	},
}).ToModel()

// sightModel is a register a VM that never goes back.
var sightModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byVM := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(seenGeneration).vm
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

// addTeam is an edit that no two operators share.
func addTeam(name string) operator.Edit {
	return func(*config.Config) (config.Delta, error) {
		return config.Delta{Set: config.Document{Teams: []config.Team{{Name: name, Rate: 1, Burst: 1}}}}, nil
	}
}

func TestConfigurationIsMonotonicUnderFaults(t *testing.T) {
	f := newFleet(t, shape{routers: 4})
	commits, sights := &history{}, &history{}
	var committed sync.Map
	var serial atomic.Int64
	faults := []fault{freezeRouter, losePlatformAnswers, platformSlow, platformDown, cutOneZone, cutPlatformOfOne}
	during(t, f, 700*time.Millisecond, faults, 8, func(i int, r *rand.Rand) {
		began := time.Now()
		if i < 4 {
			s, err := f.status(f.vms[i])
			if err == nil {
				sights.add(i, seenGeneration{vm: f.vms[i].name}, s.Generation, began, time.Now())
			}
			time.Sleep(5 * time.Millisecond)
			return
		}
		name := fmt.Sprintf("team-%d", serial.Add(1))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(300+r.IntN(700))*time.Millisecond)
		defer cancel()
		c, err := operator.Commit(ctx, f.client, addTeam(name))
		var race *operator.ConflictError
		switch {
		case err == nil:
			committed.Store(name, c.Generation())
			commits.add(i, name, applied{generation: c.Generation()}, began, time.Now())
		case errors.As(err, &race) || !errors.Is(err, platform.ErrOutcomeUnknown):
			commits.add(i, name, applied{}, began, time.Now())
		default:
			commits.add(i, name, applied{unknown: true}, began, time.Now().Add(time.Hour))
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	})
	now, _, _, err := operator.ReadConfig(context.Background(), f.client)
	require.NoError(t, err)
	f.generation(now.Generation(), inForceWithin)
	wins := 0
	committed.Range(func(name, _ any) bool {
		wins++
		_, kept := now.Teams().Get(name.(string))
		require.True(t, kept, "accepted change %s is gone", name)
		return true
	})
	require.Greater(t, wins, 3)
	t.Logf("%d accepted of %d, %d sights, head %d", wins, len(commits.ops), len(sights.ops), now.Generation())
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(headModel, commits.ops, time.Minute))
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(sightModel, sights.ops, time.Minute))
}

func TestConfigurationReachesKilledRouters(t *testing.T) {
	f := newFleet(t, shape{routers: 4})
	for i := range 3 {
		undo := killRouter(f, rand.New(rand.NewPCG(*seed, uint64(i))))
		c, err := operator.Commit(context.Background(), f.client, addTeam(fmt.Sprintf("t-%d", i)))
		require.NoError(t, err)
		undo()
		f.generation(c.Generation(), inForceWithin)
	}
}

func TestRacingOperatorsLoseCleanly(t *testing.T) {
	f := newFleet(t, shape{routers: 1})
	var wins, races atomic.Int64
	parallel(8, func(i int) {
		_, err := operator.Commit(context.Background(), f.client, addTeam(fmt.Sprintf("race-%d", i)))
		var race *operator.ConflictError
		switch {
		case err == nil:
			wins.Add(1)
		case errors.As(err, &race):
			races.Add(1)
			require.NotEmpty(t, race.Changed, "the loser is told what changed")
		default:
			require.NoError(t, err)
		}
	})
	require.Equal(t, int64(8), wins.Load()+races.Load())
	now, _, _, err := operator.ReadConfig(context.Background(), f.client)
	require.NoError(t, err)
	require.Equal(t, uint64(1+wins.Load()), now.Generation())
	_, err = operator.Commit(context.Background(), f.client, operator.ReplaceConfig(f.doc, now.Generation()-1))
	require.ErrorIs(t, err, operator.ErrGenerationMismatch)
}

// servesWithin is the target for a restarted router's first answer.
const servesWithin = time.Second

func TestRestartedRouterServesFromPeers(t *testing.T) {
	f := newFleet(t, shape{routers: 4, engines: 1})
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	v := f.vms[0]
	f.kill(v)
	f.write(v, []string{f.vms[1].peer, f.vms[2].peer})
	began := time.Now()
	f.start(v)
	for {
		reply, err := f.ask(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
		if err == nil && reply.Status == http.StatusOK {
			break
		}
		require.Less(t, time.Since(began), servesWithin, "%v %+v", err, reply.Error)
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("first answer after %v", time.Since(began))
	require.Less(t, time.Since(began), servesWithin)
}

// TestBadRowsChangeNothing writes rows that do not parse where the
// configuration and the slots are kept.
func TestBadRowsChangeNothing(t *testing.T) {
	f := newFleet(t, shape{routers: 2, engines: 1})
	ctx := context.Background()
	head, err := f.client.Get(ctx, router.HeadKey())
	require.NoError(t, err)
	bad := platform.Write{Key: router.HeadKey(), ExpectedVersion: head.Version, Data: []byte(`{"generation":`)}
	require.NoError(t, f.client.Commit(ctx, platform.NewToken(), bad))
	rows, err := f.client.List(ctx, slotrows.SlotGroup("zone-a"))
	require.NoError(t, err)
	bad = platform.Write{Key: rows[0].Key, ExpectedVersion: rows[0].Version, Data: []byte("{")}
	require.NoError(t, f.client.Commit(ctx, platform.NewToken(), bad))
	time.Sleep(2 * time.Second)
	for _, v := range f.vms {
		s, err := f.status(v)
		require.NoError(t, err)
		require.Equal(t, uint64(1), s.Generation)
		reply, err := f.ask(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
		require.NoError(t, err)
		require.True(t, reply.OK(), "%+v", reply.Error)
	}
	good := platform.Write{Key: router.HeadKey(), ExpectedVersion: head.Version + 1, Data: head.Data}
	require.NoError(t, f.client.Commit(ctx, platform.NewToken(), good))
	c, err := operator.Commit(ctx, f.client, addTeam("after"))
	require.NoError(t, err)
	f.generation(c.Generation(), inForceWithin)
}
