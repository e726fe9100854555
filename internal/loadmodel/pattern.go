package loadmodel

import (
	"errors"
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
)

// ErrPattern is the sentinel of errors in the name of a pattern or policy.
var ErrPattern = errors.New("no such pattern or policy")

// class is one kind of request.
type class struct {
	Route     id.Route
	Service   id.Service
	PerSecond float64
	Work      time.Duration
	// WarmGain is the part of the work that a warm object saves.
	WarmGain  float64
	Objective time.Duration
	Timeout   time.Duration
	Deadline  time.Duration
	// Worth and LateWorth are what an answer earns within the objective, and later.
	Worth, LateWorth float64
	Objects          int
	Repeatable       bool
}

// group is the upstreams of a service in one failure domain.
type group struct {
	Service id.Service
	Count   int
	Slots   int
}

// Pattern is a named load, and what happens to the upstreams meanwhile.
type Pattern struct {
	Name string
	// Description says what happens, for the list of patterns.
	Description string
	// WarmUp is played before anything is counted.
	WarmUp, Duration time.Duration
	// burst multiplies the load of all classes, hot that of the largest account.
	burst, hot float64
	// moved is the part of one failure domain's callers that are in another one.
	moved float64
	// slow and grey are the parts of upstreams that are slower, or fail a part of
	// their requests.
	slow, grey float64
	// impatient is the part of callers that come back at once.
	impatient float64
	// joining upstreams start in the middle, cold; lost ones come back cold.
	joining int
	lost    bool
	// thin is the part of upstreams that the first region has, of its usual ones.
	thin float64
}

const (
	usualWarmUp = 8 * time.Second
	usualFor    = 15 * time.Second
	// slowFactor and greyPart are how slow slow upstreams are, and the part of
	// requests that grey ones fail.
	slowFactor, greyPart = 5, 0.45
)

// Patterns returns the patterns that can be played.
func Patterns() []Pattern {
	list := []Pattern{
		{Name: "calm", Description: "the usual load, objects warm"},
		{Name: "start", Description: "the first seconds, every object cold", Duration: 5 * time.Second},
		{Name: "burst", Description: "1.7 times the usual load", burst: 1.7},
		{Name: "hot_account", Description: "the largest account sends 7.5 times its usual", hot: 7.5},
		{Name: "moved", Description: "half of the callers of one failure domain are in another region", moved: 0.5},
		{Name: "slow", Description: "one in six upstreams takes five times as long", slow: 0.16},
		{Name: "grey", Description: "one in seven upstreams fails 45 % of its requests", grey: 0.14},
		{Name: "impatient", Description: "a third of the callers come back at once", impatient: 0.3, burst: 1.3},
		{Name: "thin_region", Description: "one region has a third of its upstreams", thin: 0.34},
		{Name: "cold_return", Description: "a failure domain's upstreams are lost and come back cold", lost: true},
		{Name: "join", Description: "a quarter more upstreams start, cold", joining: 5},
	}
	for i := range list {
		p := &list[i]
		if p.Duration == 0 {
			p.Duration = usualFor
		}
		if p.Name != "start" {
			p.WarmUp = usualWarmUp
		}
		p.burst, p.hot, p.thin = orOne(p.burst), orOne(p.hot), orOne(p.thin)
	}
	return list
}

func orOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// PatternByName returns the pattern of a name.
func PatternByName(name string) (Pattern, error) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, fmt.Errorf("%w: pattern %q", ErrPattern, name)
}

// Sizes of the model's deployment: three regions of two failure domains each,
// with two hosts, as many callers, and these upstreams.
const (
	regions         = 3
	domainsOfRegion = 2
	hostsOfDomain   = 2
	accounts        = 8
	warmKeeps       = 24
	queueOfSlot     = 3
)

// classes are three kinds of requests: short reads that are many, bookings that
// must not run twice, and long reads of few objects.
var classes = []class{
	{
		Route: "check", Service: "stock", PerSecond: 200, Work: 480 * time.Millisecond, WarmGain: 0.7, Objective: 300 * time.Millisecond,
		Timeout: 1200 * time.Millisecond, Deadline: 2500 * time.Millisecond, Worth: 1, LateWorth: 0.2, Objects: 160, Repeatable: true,
	},
	{
		Route: "book", Service: "desk", PerSecond: 90, Work: 640 * time.Millisecond, WarmGain: 0.7, Objective: 400 * time.Millisecond,
		Timeout: 1500 * time.Millisecond, Deadline: 3 * time.Second, Worth: 2, LateWorth: 0.4, Objects: 80,
	},
	{
		Route: "history", Service: "files", PerSecond: 70, Work: 200 * time.Millisecond, WarmGain: 0.7, Objective: 150 * time.Millisecond,
		Timeout: time.Second, Deadline: time.Second, Worth: 2, LateWorth: 0.4, Objects: 60, Repeatable: true,
	},
}

// groups are the upstreams in each failure domain.
var groups = []group{{"stock", 3, 5}, {"desk", 2, 5}, {"files", 2, 3}}
