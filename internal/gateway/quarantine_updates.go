package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/quarantine"
)

// maxUntoldSuccesses bounds the parts whose success is to be told.
const maxUntoldSuccesses = 4096

// quarantineUpdates collects what the other VMs are told of parts that crash engines.
// It is safe for concurrent use; the zero value is ready to use.
type quarantineUpdates struct {
	mu sync.Mutex // guards the fields below
	// headless holds breaks of calls without a response. They are reported only if no
	// VM reports one with a response of the same engine.
	headless []quarantine.Break
	// untold holds breaks of which parts have not been told, at most maxBreaksPerMessage.
	untold []*untoldBreak
	// succeeded and answered are sent with the next message, unless another VM tells
	// the same before.
	succeeded map[string]time.Duration
	answered  map[quarantine.Engine]time.Duration
	// earlier holds successes from before a break. One that any other VM tells is enough.
	earlier map[string]time.Duration
	// cuts holds engines that broke off calls which they had begun. They are told like
	// headless, unless another VM tells the same before.
	cuts map[quarantine.Engine]time.Duration
}

func (u *quarantineUpdates) addHeadless(b quarantine.Break) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.headless) < maxBreaksPerMessage {
		u.headless = append(u.headless, b)
	}
}

// untoldBreak is a break whose parts are being told.
type untoldBreak struct {
	quarantine.Break
	// order holds the indexes of the parts that have not been told, the most suspicious
	// first.
	order []int
	// begun is set once some of them have been told.
	begun bool
}

// addBreak lets takeBreaks tell of a break. order holds the indexes of its parts, the most
// suspicious first. If there are too many breaks, the rest of one is not told.
func (u *quarantineUpdates) addBreak(b quarantine.Break, order []int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.untold) >= maxBreaksPerMessage {
		i := slices.IndexFunc(u.untold, func(x *untoldBreak) bool { return x.begun })
		if i < 0 {
			return
		}
		u.untold = slices.Delete(u.untold, i, i+1)
	}
	u.untold = append(u.untold, &untoldBreak{Break: b, order: order})
}

// takeBreaks adds breaks to a message, with an equal number of parts of each, as far as there
// is room.
func (u *quarantineUpdates) takeBreaks(m *gossip.Message, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	room := maxBreakPartsPerMessage
	for _, x := range m.Breaks {
		room -= len(x.Parts)
	}
	n := min(len(u.untold), maxBreaksPerMessage-len(m.Breaks), room)
	if n <= 0 {
		return
	}
	told, rest := u.untold[:n:n], u.untold[n:]
	for _, x := range told {
		x.tell(m, room/n, now)
		if len(x.order) > 0 {
			rest = append(rest, x)
		}
	}
	u.untold = rest
}

// tell adds the break to a message, with at most n of the parts that have not been told.
func (x *untoldBreak) tell(m *gossip.Message, n int, now time.Duration) {
	n = min(n, len(x.order))
	positions := slices.Sorted(slices.Values(x.order[:n]))
	x.begun, x.order = true, x.order[n:]
	b := x.Break
	m.Breaks = append(m.Breaks, gossip.Break{
		Engine: gossip.Server{ID: b.Engine.ID, Born: b.Engine.Born}, Request: b.Request, Parts: partsAt(b, positions), Head: b.Head,
		AgeMillis: (now - b.At).Milliseconds(),
	})
	m.BreakTimes = append(m.BreakTimes, gossip.BreakTimes{HeadMillis: b.SinceHead.Milliseconds(), UptimeMillis: b.Uptime.Milliseconds()})
	m.BreakPositions = append(m.BreakPositions, positions)
}

func (u *quarantineUpdates) addSuccess(part string, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.succeeded == nil {
		u.succeeded = make(map[string]time.Duration)
	}
	if _, ok := u.succeeded[part]; ok || len(u.succeeded) < maxUntoldSuccesses {
		u.succeeded[part] = max(u.succeeded[part], at)
	}
}

func (u *quarantineUpdates) addEarlierSuccess(part string, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.earlier == nil {
		u.earlier = make(map[string]time.Duration)
	}
	if len(u.earlier) < maxUntoldSuccesses {
		u.earlier[part] = at
	}
}

func (u *quarantineUpdates) addAnswer(id quarantine.Engine, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.answered == nil {
		u.answered = make(map[quarantine.Engine]time.Duration)
	}
	u.answered[id] = at
}

func (u *quarantineUpdates) addCut(id quarantine.Engine, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cuts == nil {
		u.cuts = make(map[quarantine.Engine]time.Duration)
	}
	if len(u.cuts) < maxCutsPerMessage {
		u.cuts[id] = at
	}
}

// takeCuts adds the engines of addCut of which no crash is known to a message.
func (u *quarantineUpdates) takeCuts(m *gossip.Message, now time.Duration, known func(quarantine.Engine) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.cuts {
		if !known(id) {
			m.Cut = append(m.Cut, gossip.Cut{Engine: gossip.Server{ID: id.ID, Born: id.Born}, AgeMillis: (now - at).Milliseconds()})
		}
	}
	clear(u.cuts)
}

// peerTold removes what another VM has told by now.
func (u *quarantineUpdates) peerTold(m *gossip.Message, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, x := range m.Succeeded {
		delete(u.earlier, x.Part)
		if u.succeeded[x.Part] <= now-time.Duration(x.AgeMillis)*time.Millisecond {
			delete(u.succeeded, x.Part)
		}
	}
	for _, x := range m.Cut {
		delete(u.cuts, quarantine.Engine{ID: x.Engine.ID, Born: x.Engine.Born})
	}
	for _, x := range m.Answered {
		delete(u.answered, quarantine.Engine{ID: x.Engine.ID, Born: x.Engine.Born})
	}
}

// take returns the collected updates, as far as a message holds them, and clears them.
func (u *quarantineUpdates) take(now time.Duration) ([]quarantine.Break, *gossip.Message) {
	u.mu.Lock()
	defer u.mu.Unlock()
	m := &gossip.Message{}
	for _, successes := range []map[string]time.Duration{u.succeeded, u.earlier} {
		for part, at := range successes {
			if len(m.Succeeded) == maxSuccessesPerMessage {
				break
			}
			m.Succeeded = append(m.Succeeded, gossip.Success{Part: part, AgeMillis: (now - at).Milliseconds()})
			delete(successes, part)
		}
	}
	for id, at := range u.answered {
		m.Answered = append(m.Answered, gossip.Answered{Engine: gossip.Server{ID: id.ID, Born: id.Born}, AgeMillis: (now - at).Milliseconds()})
	}
	headless := u.headless
	u.headless = nil
	clear(u.answered)
	return headless, m
}
