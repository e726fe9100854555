package place

// Policy holds the parameters of the choice of an upstream. The field names are
// written out by the experiment's JSON output.
type Policy struct {
	// Candidates is the number of upstreams in the order of ownership that are compared.
	Candidates int
	// QueueDepth bounds the load of an upstream, running and waiting requests, in
	// multiples of its slots. Upstreams queue a few requests for each slot.
	QueueDepth float64
	// UnknownDepth is the same for objects that the upstream does not know. Each
	// of them takes the time of several known ones, so they are refused first.
	UnknownDepth float64
	// ColdPenalty is the weight of a cold object beyond the request's own latency, in
	// multiples of the latency for cold objects: the object takes up memory and slot
	// time of the upstream.
	ColdPenalty float64
	// IdleLoad is the load of an upstream, in multiples of its slots, up to which it may take
	// requests about objects of which it is not one of the first Candidates.
	IdleLoad float64
}

// DefaultPolicy returns the policy that hosts use; see docs/LOAD.md.
func DefaultPolicy() Policy {
	return Policy{Candidates: 2, QueueDepth: 3, UnknownDepth: 1.5, ColdPenalty: 1, IdleLoad: 0.5}
}
