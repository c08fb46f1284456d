package trial

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/examples/profiles"
)

// class is one kind of request of a workload.
type class struct {
	name  string
	team  string
	model string
	// perSecond is the mean rate of arrivals.
	perSecond float64
	// common and section are the sizes of the nest's outer levels, in tokens;
	// note is the size of the part that each prompt has for itself.
	common, section, note int
	// sections is how many there are; skew shapes how hot the hottest are.
	sections int
	skew     float64
	tokens   int
	// surges makes the class arrive this many times as often for a part of
	// the run.
	surges float64
	// path, if set, makes the class a once-only service call.
	path string
}

// Profile is a deployment and the traffic of its users.
type Profile struct {
	name       string
	deployment func(profiles.AddressFunc) *declare.Deployment
	classes    []class
}

// Name returns the profile's name.
func (p Profile) Name() string { return p.name }

// ErrProfile means that there is no such profile.
var ErrProfile = errors.New("trial: unknown profile")

// ProfileByName returns wolkenatlas or gumless.
func ProfileByName(name string) (Profile, error) {
	for _, p := range []Profile{wolkenatlas, gumless} {
		if p.name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("%w %q", ErrProfile, name)
}

var wolkenatlas = Profile{
	name:       "wolkenatlas",
	deployment: profiles.Wolkenatlas,
	classes: []class{
		{name: "labels", team: "labelling", model: "caption", perSecond: 5, common: 3000, section: 5000, note: 300, sections: 40, skew: 1.1, tokens: 16},
		{name: "captions", team: "captions", model: "caption", perSecond: 3, common: 3000, section: 5000, note: 300, sections: 40, skew: 1.3, tokens: 24},
		{name: "review", team: "review", model: "portal", perSecond: 1.5, common: 2000, section: 4000, note: 400, sections: 20, skew: 1, tokens: 32},
		{name: "volunteers", team: "volunteers", model: "portal", perSecond: 0.8, common: 2000, section: 3000, note: 300, sections: 20, skew: 1, tokens: 24},
		{name: "schools", team: "schools", model: "caption", perSecond: 0.4, common: 3000, section: 3000, note: 200, sections: 10, skew: 1, tokens: 16, surges: 5},
		{name: "submissions", team: "volunteers", path: "/submissions", perSecond: 1},
	},
}

var gumless = Profile{
	name:       "gumless",
	deployment: profiles.Gumless,
	classes: []class{
		{name: "surveys", team: "managers", model: "answer", perSecond: 2.5, common: 2000, section: 12000, note: 600, sections: 30, skew: 1, tokens: 32},
		{name: "quotes", team: "quotes", model: "answer", perSecond: 2, common: 2000, section: 8000, note: 400, sections: 30, skew: 1.2, tokens: 24, surges: 5},
		{name: "north", team: "crews-north", model: "answer", perSecond: 1.2, common: 2000, section: 3000, note: 100, sections: 12, skew: 1.2, tokens: 16},
		{name: "south", team: "crews-south", model: "answer", perSecond: 1.2, common: 2000, section: 3000, note: 100, sections: 12, skew: 1.2, tokens: 16},
		{name: "office", team: "office", model: "booking", perSecond: 0.4, common: 1000, section: 4000, note: 200, sections: 8, skew: 1, tokens: 24},
		{name: "bookings", team: "office", path: "/bookings", perSecond: 1},
	},
}

// arrival is one planned request.
type arrival struct {
	at      time.Duration
	class   *class
	section int
	note    uint64
	// router picks the entry VM, as a balancer would.
	router int
	// inside is whether the team's rate and burst, in one place, cover the
	// request beside all others that they cover.
	inside bool
}

// The part of a run in which a surging class surges.
const (
	surgeFrom = 0.4
	surgeTo   = 0.6
)

// plan returns the arrivals of a run, in order of time. The same seed gives
// the same plan.
func (l Load) plan(shifts []time.Duration) []arrival {
	r := rand.New(rand.NewPCG(l.Seed, 11))
	var out []arrival
	for i := range l.Profile.classes {
		out = append(out, l.Profile.classes[i].plan(r, l, shifts)...)
	}
	sortArrivals(out)
	return out
}

func (c *class) plan(r *rand.Rand, l Load, shifts []time.Duration) []arrival {
	var out []arrival
	for at := time.Duration(0); ; {
		rate := c.perSecond * l.Speed * l.Press
		if part := float64(at) / float64(l.Length); c.surges > 0 && part >= surgeFrom && part < surgeTo {
			rate *= c.surges
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Length {
			return out
		}
		a := arrival{at: at, class: c, note: r.Uint64(), router: r.IntN(1 << 20)}
		if c.sections > 0 {
			a.section = (pickSection(r, c.sections, c.skew*l.Skew) + shiftAt(at, shifts)*c.sections/2) % c.sections
		}
		out = append(out, a)
	}
}

// pickSection draws one of n sections by a power law.
func pickSection(r *rand.Rand, n int, skew float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	left := r.Float64() * total
	for i := range n {
		left -= math.Pow(float64(i+1), -skew)
		if left <= 0 {
			return i
		}
	}
	return n - 1
}

// shiftAt counts the shifts of the hot set before an instant.
func shiftAt(at time.Duration, shifts []time.Duration) int {
	n := 0
	for _, s := range shifts {
		if at >= s {
			n++
		}
	}
	return n
}

// bytesPerToken is how much text a stand-in engine takes for a token.
const bytesPerToken = 4

func text(name string, tokens int) string {
	word := name + " "
	return strings.Repeat(word, 1+tokens*bytesPerToken/len(word))[:tokens*bytesPerToken]
}

// parts returns the prompt's messages, the outermost level first.
func (a arrival) parts() []string {
	c := a.class
	return []string{
		text(c.name+" instruction", c.common),
		text(fmt.Sprintf("%s section %d", c.name, a.section), c.section),
		text(fmt.Sprintf("note %d", a.note), c.note),
	}
}

// size returns the tokens that the request uses.
func (a arrival) size() float64 {
	c := a.class
	return float64(c.common + c.section + c.note + c.tokens)
}
