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

// requestClass describes requests of a workload that are alike.
type requestClass struct {
	name  string
	team  string
	model string
	// arrivalsPerSecond is the mean arrival rate at a SpeedFactor of 1.
	arrivalsPerSecond float64
	// commonTokens is the size of the prompt part that all requests of the class share,
	// sectionTokens that of the part that requests of the same section share, and
	// noteTokens that of the part of this request alone.
	commonTokens, sectionTokens, noteTokens int
	// sectionCount is the number of sections. They are requested by a power law with the
	// exponent skew.
	sectionCount int
	skew         float64
	maxTokens    int
	// surgeFactor, if set, multiplies the arrival rate between surgeStart and surgeEnd.
	surgeFactor float64
	// path, if set, makes the requests service calls with an idempotency key.
	path string
}

// Profile is a deployment and the workload of its teams.
type Profile struct {
	name       string
	deployment func(profiles.AddressFunc) *declare.Deployment
	classes    []requestClass
}

// Name returns the name of the profile.
func (p Profile) Name() string { return p.name }

// ErrUnknownProfile means that no profile has the given name.
var ErrUnknownProfile = errors.New("trial: unknown profile")

// ProfileByName returns the profile wolkenatlas or gumless.
func ProfileByName(name string) (Profile, error) {
	for _, p := range []Profile{wolkenatlas, gumless} {
		if p.name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("%w %q", ErrUnknownProfile, name)
}

var wolkenatlas = Profile{
	name:       "wolkenatlas",
	deployment: profiles.Wolkenatlas,
	classes: []requestClass{
		{name: "labels", team: "labelling", model: "caption", arrivalsPerSecond: 5, commonTokens: 3000, sectionTokens: 5000, noteTokens: 300, sectionCount: 40, skew: 1.1, maxTokens: 16},
		{name: "captions", team: "captions", model: "caption", arrivalsPerSecond: 3, commonTokens: 3000, sectionTokens: 5000, noteTokens: 300, sectionCount: 40, skew: 1.3, maxTokens: 24},
		{name: "review", team: "review", model: "portal", arrivalsPerSecond: 1.5, commonTokens: 2000, sectionTokens: 4000, noteTokens: 400, sectionCount: 20, skew: 1, maxTokens: 32},
		{name: "volunteers", team: "volunteers", model: "portal", arrivalsPerSecond: 0.8, commonTokens: 2000, sectionTokens: 3000, noteTokens: 300, sectionCount: 20, skew: 1, maxTokens: 24},
		{name: "schools", team: "schools", model: "caption", arrivalsPerSecond: 0.4, commonTokens: 3000, sectionTokens: 3000, noteTokens: 200, sectionCount: 10, skew: 1, maxTokens: 16, surgeFactor: 5},
		{name: "submissions", team: "volunteers", path: "/submissions", arrivalsPerSecond: 1},
	},
}

var gumless = Profile{
	name:       "gumless",
	deployment: profiles.Gumless,
	classes: []requestClass{
		{name: "surveys", team: "managers", model: "answer", arrivalsPerSecond: 2.5, commonTokens: 2000, sectionTokens: 12000, noteTokens: 600, sectionCount: 30, skew: 1, maxTokens: 32},
		{name: "quotes", team: "quotes", model: "answer", arrivalsPerSecond: 2, commonTokens: 2000, sectionTokens: 8000, noteTokens: 400, sectionCount: 30, skew: 1.2, maxTokens: 24, surgeFactor: 5},
		{name: "north", team: "crews-north", model: "answer", arrivalsPerSecond: 1.2, commonTokens: 2000, sectionTokens: 3000, noteTokens: 100, sectionCount: 12, skew: 1.2, maxTokens: 16},
		{name: "south", team: "crews-south", model: "answer", arrivalsPerSecond: 1.2, commonTokens: 2000, sectionTokens: 3000, noteTokens: 100, sectionCount: 12, skew: 1.2, maxTokens: 16},
		{name: "office", team: "office", model: "booking", arrivalsPerSecond: 0.4, commonTokens: 1000, sectionTokens: 4000, noteTokens: 200, sectionCount: 8, skew: 1, maxTokens: 24},
		{name: "bookings", team: "office", path: "/bookings", arrivalsPerSecond: 1},
	},
}

// arrival is one planned request.
type arrival struct {
	at           time.Duration
	class        *requestClass
	sectionIndex int
	noteID       uint64
	// routerIndex selects the entry router, modulo their number, as a load balancer would.
	routerIndex int
	// withinRate is whether the team's rate and burst cover the request, if only requests
	// that they cover take tokens.
	withinRate bool
}

// Start and end of the surges, as fractions of the run.
const (
	surgeStart = 0.4
	surgeEnd   = 0.6
)

// plan returns the arrivals of a run in order of time. The same seed gives the same
// plan.
func (l RunOptions) plan(shifts []time.Duration) []arrival {
	r := rand.New(rand.NewPCG(l.Seed, 11))
	var out []arrival
	for i := range l.Profile.classes {
		out = append(out, l.Profile.classes[i].plan(r, l, shifts)...)
	}
	sortArrivals(out)
	return out
}

func (c *requestClass) plan(r *rand.Rand, l RunOptions, shifts []time.Duration) []arrival {
	var out []arrival
	for at := time.Duration(0); ; {
		rate := c.arrivalsPerSecond * l.SpeedFactor * l.TrafficFactor
		if part := float64(at) / float64(l.Duration); c.surgeFactor > 0 && part >= surgeStart && part < surgeEnd {
			rate *= c.surgeFactor
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Duration {
			return out
		}
		a := arrival{at: at, class: c, noteID: r.Uint64(), routerIndex: r.IntN(1 << 20)}
		if c.sectionCount > 0 {
			a.sectionIndex = (pickSection(r, c.sectionCount, c.skew*l.SkewFactor) + shiftsUntil(at, shifts)*c.sectionCount/2) % c.sectionCount
		}
		out = append(out, a)
	}
}

// pickSection draws one of n sections by a power law with the exponent -skew.
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

// shiftsUntil counts the shifts of the hot set up to a time.
func shiftsUntil(at time.Duration, shifts []time.Duration) int {
	n := 0
	for _, s := range shifts {
		if at >= s {
			n++
		}
	}
	return n
}

// bytesPerToken is the length of text that a stand-in engine counts as one token.
const bytesPerToken = 4

func fillerText(name string, tokens int) string {
	word := name + " "
	return strings.Repeat(word, 1+tokens*bytesPerToken/len(word))[:tokens*bytesPerToken]
}

// messages returns the messages of the prompt, the most widely shared first.
func (a arrival) messages() []string {
	c := a.class
	return []string{
		fillerText(c.name+" instruction", c.commonTokens),
		fillerText(fmt.Sprintf("%s section %d", c.name, a.sectionIndex), c.sectionTokens),
		fillerText(fmt.Sprintf("note %d", a.noteID), c.noteTokens),
	}
}

// tokens returns the tokens of the prompt and of the answer.
func (a arrival) tokens() float64 {
	c := a.class
	return float64(c.commonTokens + c.sectionTokens + c.noteTokens + c.maxTokens)
}
