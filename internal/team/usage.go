package team

import (
	"math"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// usageLife is the time constant over which use is forgotten.
const usageLife = 10 * time.Second

// usageLimit bounds the teams remembered; idle ones are dropped first.
const usageLimit = 1 << 16

// PriorityLevels is the number of priorities; lower ones go first.
const PriorityLevels = 16

// Usage remembers how much each team has used lately. It is safe for
// concurrent use.
type Usage struct {
	mu    sync.Mutex // guards the field below
	teams map[string]*use
}

type use struct {
	tokens float64
	at     timer.Instant
}

// NewUsage returns an empty record.
func NewUsage() *Usage { return &Usage{teams: make(map[string]*use)} }

// Add counts tokens of a team and returns the priority of the request that
// uses them: the more of its rate the team has used, the higher the value.
func (u *Usage) Add(now timer.Instant, name string, tokens, rate float64) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.teams[name]
	if t == nil {
		u.trim(now)
		t = &use{at: now}
		u.teams[name] = t
	}
	t.tokens = t.tokens*math.Exp(-float64(now.Sub(t.at))/float64(usageLife)) + tokens
	t.at = now
	share := t.tokens / (rate*usageLife.Seconds() + 1)
	return min(PriorityLevels-1, int(share*PriorityLevels/2))
}

func (u *Usage) trim(now timer.Instant) {
	if len(u.teams) < usageLimit {
		return
	}
	for name, t := range u.teams {
		if now.Sub(t.at) > usageLife {
			delete(u.teams, name)
		}
	}
	if len(u.teams) >= usageLimit {
		clear(u.teams)
	}
}
