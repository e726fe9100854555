// Package desired holds the operator's desired state: routes, client accounts
// with their keys and quotas, services, and the limits of what a client may send.
package desired

import (
	"strings"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
)

// Version numbers the desired states. It increases, but not always by one.
type Version uint64

// Kind states whether a request may run more than once.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once for each attempt of a client.
	NonIdempotent
	// Upload is NonIdempotent with a large body.
	Upload
	// Download is Idempotent with a large answer.
	Download
	// UnknownKind is a kind that this build does not know. Its requests are handled like
	// NonIdempotent ones, which is safe for any kind.
	UnknownKind
)

// Priority ranks requests; 0 is the most urgent.
type Priority int

// Target is a service that a route sends requests to, with its weight.
type Target struct {
	Service id.Service
	Weight  int
}

// Route maps the requests of one virtual host under a path prefix to services.
type Route struct {
	Name        id.Route
	VirtualHost string
	Prefix      string
	Kind        Kind
	Targets     []Target
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// MaxAttempts bounds the number of upstreams that one attempt of a client is sent to.
	MaxAttempts int
	Priority    Priority
	// Open routes need no key.
	Open bool
	// Sticky routes are served faster by an upstream that knows the object.
	Sticky bool
	// Homes are the regions that may serve the route; empty means all.
	Homes []id.Region
}

// Retryable reports whether a request that may have run can be sent again.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Download }

// Account is a client account.
type Account struct {
	ID       id.Account
	Keys     []string
	Priority Priority
	// HasPriority is set if the account's priority replaces the route's.
	HasPriority bool
	// Rate and Burst bound the requests over all hosts together, in requests per
	// second and requests. A Rate of 0 means no bound.
	Rate, Burst float64
	Homes       []id.Region
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       id.Service
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all
	// hosts together.
	MaxConnections int
	// ColdFor is how long an upstream stays cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the rate of requests that a cold upstream tolerates.
	ColdPerSecond float64
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Unsupported is a field of a route whose value this build does not know. The route is
// served without it, in the way that is safe for any value.
type Unsupported struct {
	Route id.Route
	Field string
	Value string
}

// State is one desired state. Compile builds its indexes; after that it is immutable.
type State struct {
	Version  Version
	Routes   []*Route
	Accounts []*Account
	Services []*Service
	Limits   Limits
	// Unsupported are the parts of the state that this build does not know.
	Unsupported []Unsupported `json:",omitempty"`

	byVirtualHost map[string]map[string]*Route
	byKey         map[string]*Account
	byService     map[id.Service]*Service
}

// Compile builds the indexes and returns the state.
func (s *State) Compile() *State {
	s.byVirtualHost = map[string]map[string]*Route{}
	for _, r := range s.Routes {
		if s.byVirtualHost[r.VirtualHost] == nil {
			s.byVirtualHost[r.VirtualHost] = map[string]*Route{}
		}
		s.byVirtualHost[r.VirtualHost][r.Prefix] = r
	}
	s.byKey = map[string]*Account{}
	for _, a := range s.Accounts {
		for _, k := range a.Keys {
			s.byKey[k] = a
		}
	}
	s.byService = map[id.Service]*Service{}
	for _, v := range s.Services {
		s.byService[v.Name] = v
	}
	return s
}

// Match returns the route of the virtual host with the longest prefix of path. A
// route's prefix matches only if it ends in a slash.
func (s *State) Match(virtualHost, path string) (*Route, bool) {
	prefixes := s.byVirtualHost[virtualHost]
	if prefixes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account that holds a key.
func (s *State) Account(key string) (*Account, bool) {
	a, ok := s.byKey[key]
	return a, ok
}

// Service returns a service by name, or nil.
func (s *State) Service(name id.Service) *Service { return s.byService[name] }

// AllowedRegions returns the regions that may serve a request of an account on a
// route. If both name home regions, only regions that both name are allowed.
// restricted is false if neither does, and all regions are allowed.
func AllowedRegions(r *Route, a *Account) (regions []id.Region, restricted bool) {
	switch {
	case a == nil || len(a.Homes) == 0:
		return r.Homes, len(r.Homes) > 0
	case len(r.Homes) == 0:
		return a.Homes, true
	}
	for _, region := range r.Homes {
		for _, other := range a.Homes {
			if region == other {
				regions = append(regions, region)
			}
		}
	}
	return regions, true
}
