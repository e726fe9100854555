package loadmodel

import (
	"math"
	"time"
)

// overload describes the load and the faults of a pattern of overload. Its deployment has
// one service, whose upstreams accept as many requests as hosts assume. The load is stated
// as the part of all slots that is used when every object is known.
type overload struct {
	// perDomain is the number of upstreams of a failure domain.
	perDomain int
	// hosts is the number of hosts of all failure domains.
	hosts int
	// utilization is the part of the slots that the usual load uses.
	utilization float64
	// burstFactor multiplies the load for burstFor after the warm-up, in all failure
	// domains or in burstDomain alone.
	burstFactor float64
	inOneDomain bool
	// waveAmplitude is the part by which the load of each region rises and falls, in
	// phases that are shifted by a third of wavePeriod.
	waveAmplitude float64
	// retries is how often impatient callers retry.
	retries int
	// noisyFraction is the fraction of upstreams that are noisyPace times slower in every
	// second period of noisyPeriod; they state their pace if paceStated.
	noisyFraction float64
	paceStated    bool
	// drained takes the upstreams of one failure domain out of use after drainedAfter.
	drained bool
	// unlimited makes the quotas of the accounts too large to matter.
	unlimited bool
	// classes holds the only kind of request, with its rate.
	classes []class
}

const (
	// overloadWarmUp is the time before requests count. The load rises during rampTime of
	// it, because objects that are all cold at the full load would stay cold.
	overloadWarmUp = 36 * time.Second
	rampTime       = 30 * time.Second
	rampStart      = 0.2
	// burstFor is the length of a burst, recoverySeconds the length of the end of a run by
	// which its recovery is judged.
	burstFor        = 5 * time.Second
	recoverySeconds = 5
	// overloadDuration is a burst and three times as long after it.
	overloadDuration = 20 * time.Second
	usualUtilization = 0.75
	waveUtilization  = 0.6
	wavePeriod       = 10 * time.Second
	drainedAfter     = 2 * time.Second
	noisyPace        = 2.5
	noisyPeriod      = 600 * time.Millisecond
	// overloadSlots is the number of slots of each upstream, overloadQueuePerSlot the
	// length of its queue for each of them.
	overloadSlots        = 5
	overloadQueuePerSlot = 2
	overloadPerDomain    = 6
	overloadHosts        = 12
	// manyAccountRate is a quota that no account uses up.
	manyAccountRate = 1e9
)

// overloadClasses is the only kind of request in patterns of overload: 228 ms for known
// objects, 760 ms for others. Each region's upstreams can keep a little more objects warm
// than there are. OverloadPatterns sets the rate.
var overloadClass = class{
	Route: "view", Service: "viewer", ServiceTime: 760 * time.Millisecond, WarmSaving: 0.7, Objective: time.Second, Timeout: 2500 * time.Millisecond,
	Deadline: 3 * time.Second, Worth: 1, LateWorth: 0.2, Objects: 210, Idempotent: true,
}

// OverloadPatterns returns the patterns of overload and uneven upstreams.
func OverloadPatterns() []Pattern {
	list := []Pattern{
		{Name: "steady", Description: "75 % of the slots if all objects are known", overload: &overload{}},
		{Name: "metastable", Description: "1.7 times the load of 75 % of the slots for five seconds, then the usual", overload: &overload{burstFactor: 1.7}},
		{Name: "domain_burst", Description: "the same burst in one failure domain", overload: &overload{burstFactor: 1.7, inOneDomain: true}},
		{Name: "account_burst", Description: "the largest account sends 7.5 times its usual", hotFactor: 7.5, overload: &overload{}},
		{Name: "retry_storm", Description: "a burst, and 30 in 100 callers retry three times at once", impatientFraction: 0.3, overload: &overload{burstFactor: 1.7, retries: 3}},
		{Name: "wave", Description: "a wave in shifted phases by region; one region has a tenth of the upstreams", thinFraction: 0.1, overload: &overload{perDomain: 10, utilization: waveUtilization, waveAmplitude: 0.5}},
		{Name: "noisy", Description: "15 in 100 upstreams are 2.5 times slower in alternating periods of 600 ms and say so", overload: &overload{noisyFraction: 0.15, paceStated: true}},
		{Name: "noisy_unstated", Description: "the same, but they do not say so", overload: &overload{noisyFraction: 0.15}},
		{Name: "drained", Description: "a failure domain is drained under load", overload: &overload{drained: true}},
		{Name: "hosts_9", Description: "the metastable pattern with 9 hosts", overload: &overload{burstFactor: 1.7, hosts: 9, unlimited: true}},
		{Name: "hosts_94", Description: "the metastable pattern with 94 hosts", overload: &overload{burstFactor: 1.7, hosts: 94, unlimited: true}},
		{Name: "hosts_195", Description: "the metastable pattern with 195 hosts", overload: &overload{burstFactor: 1.7, hosts: 195, unlimited: true}},
		{Name: "hosts_2500", Description: "the metastable pattern with 2,500 hosts", overload: &overload{burstFactor: 1.7, hosts: 2500, unlimited: true}},
	}
	for i := range list {
		p, o := &list[i], list[i].overload
		p.WarmUp, p.Duration = overloadWarmUp, overloadDuration
		p.loadFactor, p.hotFactor, p.thinFraction, p.baseFactor = valueOrOne(p.loadFactor), valueOrOne(p.hotFactor), valueOrOne(p.thinFraction), valueOrOne(p.baseFactor)
		o.burstFactor = valueOrOne(o.burstFactor)
		if o.perDomain == 0 {
			o.perDomain = overloadPerDomain
		}
		if o.hosts == 0 {
			o.hosts = overloadHosts
		}
		if o.utilization == 0 {
			o.utilization = usualUtilization
		}
		thin := max(int(math.Round(float64(o.perDomain)*p.thinFraction)), 1)
		slots := overloadSlots * domainsPerRegion * (thin + (regions-1)*o.perDomain)
		c := overloadClass
		c.PerSecond = o.utilization * float64(slots) / knownTime(&c).Seconds()
		o.classes = []class{c}
	}
	return list
}

// AllPatterns returns the patterns of Patterns and of OverloadPatterns.
func AllPatterns() []Pattern { return append(Patterns(), OverloadPatterns()...) }

// classes returns the kinds of requests of the pattern's deployment.
func (p *Pattern) classes() []class {
	if p.overload != nil {
		return p.overload.classes
	}
	return classes
}

// groups returns the upstreams of each failure domain.
func (p *Pattern) groups() []group {
	if p.overload != nil {
		return []group{{overloadClass.Service, p.overload.perDomain, overloadSlots}}
	}
	return groups
}

// hostsIn returns the number of hosts of a failure domain.
func (p *Pattern) hostsIn(region, domain int) int {
	if p.overload == nil {
		return hostsPerDomain
	}
	const domains = regions * domainsPerRegion
	n, index := p.overload.hosts/domains, domain*regions+region
	if index < p.overload.hosts%domains {
		n++
	}
	return n
}

func (p *Pattern) unlimitedAccounts() bool { return p.overload != nil && p.overload.unlimited }

// callerRetries returns how often a caller retries at most.
func (p *Pattern) callerRetries(impatient bool) int {
	if impatient && p.overload != nil && p.overload.retries > 0 {
		return p.overload.retries
	}
	return maxCallerRetries
}

// factor returns by how much the load of a failure domain's callers is multiplied, at a
// time after the warm-up.
func (o *overload) factor(region, domain int, elapsed time.Duration) float64 {
	if elapsed < 0 {
		return min(1, rampStart+(1-rampStart)*float64(elapsed+overloadWarmUp)/float64(rampTime))
	}
	f := 1.0
	if elapsed < burstFor && (!o.inOneDomain || (region == 1 && domain == 0)) {
		f = o.burstFactor
	}
	phase := float64(elapsed)/float64(wavePeriod) + float64(region)/regions
	return f * (1 + o.waveAmplitude*math.Sin(2*math.Pi*phase))
}

// maxFactor is an upper bound of factor.
func (o *overload) maxFactor() float64 { return o.burstFactor * (1 + o.waveAmplitude) }
