package place

// Policy is what may be weighed differently in the choice of an upstream.
type Policy struct {
	// Candidates is how many upstreams in the order of ownership are compared.
	Candidates int
	// QueueDepth bounds the load of an upstream, in multiples of its slots: what
	// runs and what waits. Upstreams queue a few requests for each slot.
	QueueDepth float64
	// UnknownQueueDepth is the same for objects that the upstream does not know. Each of
	// them takes the time of several known ones, so they are turned away first.
	UnknownQueueDepth float64
	// ColdPenalty weighs the work of a cold start beyond the request's own wait: it
	// takes a place in the upstream's memory and time of its slots.
	ColdPenalty float64
}

// DefaultPolicy returns the policy that hosts use; docs/LOAD.md has the trials.
func DefaultPolicy() Policy {
	return Policy{Candidates: 2, QueueDepth: 3, UnknownQueueDepth: 1.5, ColdPenalty: 1}
}
