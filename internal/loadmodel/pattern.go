package loadmodel

import (
	"errors"
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
)

// ErrUnknownName means that no pattern or policy has the given name.
var ErrUnknownName = errors.New("no such pattern or policy")

// class is one kind of request, with the parameters of its load.
type class struct {
	Route   id.Route
	Service id.Service
	// PerSecond is the request rate of all callers.
	PerSecond float64
	// ServiceTime is the mean service time for a cold object.
	ServiceTime time.Duration
	// WarmSaving is the fraction of the service time that a warm object saves.
	WarmSaving float64
	// Objective is the latency objective and Timeout the timeout of the route.
	Objective time.Duration
	Timeout   time.Duration
	// Deadline is the time after which an answer is worth nothing to the caller.
	Deadline time.Duration
	// Worth is what an answer earns within the objective, LateWorth what it earns
	// later but within the deadline.
	Worth, LateWorth float64
	// Objects is the number of objects of the route.
	Objects    int
	Idempotent bool
}

// group describes the upstreams of a service in one failure domain.
type group struct {
	Service id.Service
	Count   int
	Slots   int
}

// Pattern is a named load with the faults and changes of the upstreams during it.
type Pattern struct {
	Name string
	// Description describes the load, faults and changes in a few words.
	Description string
	// WarmUp is simulated before anything is counted, Duration is the counted time.
	WarmUp, Duration time.Duration
	// loadFactor multiplies the load of all classes, hotFactor that of the largest
	// account.
	loadFactor, hotFactor float64
	// baseFactor multiplies the load of all classes, in the warm-up, too.
	baseFactor float64
	// ownDraws draws arrivals and faults from generators of their own, so that runs of one
	// seed have the same ones whatever the hosts decide.
	ownDraws bool
	// movedFraction is the fraction of the first failure domain's callers that use
	// hosts of the last one, which is in another region.
	movedFraction float64
	// slowFraction is the fraction of upstreams that are slower, greyFraction that of
	// upstreams that fail some of their requests.
	slowFraction, greyFraction float64
	// impatientFraction is the fraction of callers that retry at once.
	impatientFraction float64
	// joiningUpstreams is the number of upstreams of the first group's service that
	// start cold after the warm-up.
	joiningUpstreams int
	// domainLost stops the upstreams of one failure domain after the warm-up, and
	// restarts them cold after domainDowntime.
	domainLost bool
	// heavyRuns is the fraction of the runs at upstreams that take heavyFactor times as long,
	// heavyRequests that of the requests all of whose runs do.
	heavyRuns, heavyRequests float64
	// phaseFraction is the fraction of upstreams that are phaseSlowFactor times slower, drawn
	// again each slowPhase.
	phaseFraction float64
	// thinFraction is the fraction of its usual upstreams that the first region has.
	thinFraction float64
	// overload describes the load of a pattern of overload, nil for the others.
	overload *overload
}

const (
	defaultWarmUp   = 8 * time.Second
	defaultDuration = 15 * time.Second
	// longWarmUp lets each host learn the response times of hedged requests, longDuration
	// gives enough requests for the quantile of 0.999.
	longWarmUp   = time.Minute
	longDuration = time.Minute
	// lightLoad is the base factor of these patterns. At the usual load the service with the
	// most requests has queues, and most copies would find no room.
	lightLoad = 0.5
	// phaseSlowFactor multiplies the service time of the upstreams that are slow in a phase.
	phaseSlowFactor = 2.5
	// slowPhase is the time after which other upstreams are slow.
	slowPhase = 600 * time.Millisecond
	// heavyAttempt is the attempt of requests that are heavy work at every upstream.
	heavyAttempt = id.Attempt("model-heavy")
	// slowFactor multiplies the service time of slow upstreams.
	slowFactor = 5
	// greyFailureRate is the fraction of their requests that grey upstreams fail.
	greyFailureRate = 0.45
)

// Patterns returns all patterns. Factors and fractions that would change nothing are
// left out of the list. Only "start" has no warm-up, because it counts the seconds
// in which all objects are cold.
func Patterns() []Pattern {
	list := []Pattern{
		{Name: "calm", Description: "the usual load, objects warm"},
		{Name: "start", Description: "the first seconds, every object cold", Duration: 5 * time.Second},
		{Name: "burst", Description: "1.7 times the usual load", loadFactor: 1.7},
		{Name: "hot_account", Description: "the largest account sends 7.5 times its usual", hotFactor: 7.5},
		{Name: "moved", Description: "half of the callers of one failure domain are in another region", movedFraction: 0.5},
		{Name: "slow", Description: "one in six upstreams takes five times as long", slowFraction: 0.16},
		{Name: "grey", Description: "one in seven upstreams fails 45 % of its requests", greyFraction: 0.14},
		{Name: "impatient", Description: "a third of the callers retry at once", impatientFraction: 0.3, loadFactor: 1.3},
		{Name: "thin_region", Description: "one region has a third of its upstreams", thinFraction: 0.34},
		{Name: "cold_return", Description: "a failure domain's upstreams are lost and come back cold", domainLost: true},
		{Name: "join", Description: "a quarter more upstreams of one service start, cold", joiningUpstreams: 5},
		{Name: "heavy_runs", Description: "3 in 100 runs take seven times as long", heavyRuns: 0.03, baseFactor: lightLoad, ownDraws: true, WarmUp: longWarmUp, Duration: longDuration},
		{Name: "heavy_requests", Description: "3 in 100 requests take seven times as long at every upstream", heavyRequests: 0.03, baseFactor: lightLoad, ownDraws: true, WarmUp: longWarmUp, Duration: longDuration},
		{Name: "slow_long", Description: "one in six upstreams takes five times as long, for a minute", slowFraction: 0.16, baseFactor: lightLoad, ownDraws: true, WarmUp: longWarmUp, Duration: longDuration},
		{Name: "slow_phases", Description: "15 in 100 upstreams take 2.5 times as long, others each 600 ms", phaseFraction: 0.15, baseFactor: lightLoad, ownDraws: true, WarmUp: longWarmUp, Duration: longDuration},
	}
	for i := range list {
		p := &list[i]
		if p.Duration == 0 {
			p.Duration = defaultDuration
		}
		if p.Name != "start" && p.WarmUp == 0 {
			p.WarmUp = defaultWarmUp
		}
		p.loadFactor, p.hotFactor, p.thinFraction, p.baseFactor = valueOrOne(p.loadFactor), valueOrOne(p.hotFactor), valueOrOne(p.thinFraction), valueOrOne(p.baseFactor)
	}
	return list
}

func valueOrOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// PatternByName returns the pattern with the given name, or an error that matches
// ErrUnknownName.
func PatternByName(name string) (Pattern, error) {
	for _, p := range AllPatterns() {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, fmt.Errorf("%w: pattern %q", ErrUnknownName, name)
}

// Sizes of the simulated deployment. Each failure domain also has the upstreams of
// groups.
const (
	regions          = 3
	domainsPerRegion = 2
	hostsPerDomain   = 2
	accounts         = 8
	// maxWarmObjects is the maximum number of objects that are warm at an upstream.
	maxWarmObjects = 24
	// queuePerSlot is the length of an upstream's queue for each of its slots.
	queuePerSlot = 3
)

// classes are the three kinds of requests: frequent reads, non-idempotent bookings,
// and cheap reads of few objects.
var classes = []class{
	{
		Route: "check", Service: "stock", PerSecond: 200, ServiceTime: 480 * time.Millisecond, WarmSaving: 0.7, Objective: 300 * time.Millisecond,
		Timeout: 1200 * time.Millisecond, Deadline: 2500 * time.Millisecond, Worth: 1, LateWorth: 0.2, Objects: 160, Idempotent: true,
	},
	{
		Route: "book", Service: "desk", PerSecond: 90, ServiceTime: 640 * time.Millisecond, WarmSaving: 0.7, Objective: 400 * time.Millisecond,
		Timeout: 1500 * time.Millisecond, Deadline: 3 * time.Second, Worth: 2, LateWorth: 0.4, Objects: 80,
	},
	{
		Route: "history", Service: "files", PerSecond: 70, ServiceTime: 200 * time.Millisecond, WarmSaving: 0.7, Objective: 150 * time.Millisecond,
		Timeout: time.Second, Deadline: time.Second, Worth: 2, LateWorth: 0.4, Objects: 60, Idempotent: true,
	},
}

// groups are the upstreams of each failure domain: service, count and slots.
var groups = []group{{"stock", 3, 5}, {"desk", 2, 5}, {"files", 2, 3}}
