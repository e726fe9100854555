// Package caller serves callers over HTTP: look-ups and the forwarding of requests.
package caller

import (
	"context"
	"hash/maphash"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/caller"
	"celerypin.example/celerypin/internal/transport/route"
	transport "celerypin.example/celerypin/internal/transport/upstream"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/coordination/claim"
	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/coordination/queue"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Borrower borrows budget from other hosts.
type Borrower interface {
	// Borrow waits until a loan for the account has been granted or refused, or until
	// ctx ends. It reports whether the caller should try to debit the account again.
	Borrow(ctx context.Context, account id.Account) bool
}

// Dependencies are what a Server needs of the host it runs on.
type Dependencies struct {
	Host      id.Host
	Region    id.Region
	Gate      *admit.Controller
	Lookup    *rcu.Cell[lookup.Table]
	Hasher    key.Hasher
	Borrower  Borrower
	Picker    *pick.Picker
	Recorder  *release.Recorder
	Claims    *claim.Registry
	Forwarder *transport.Forwarder
	Clock     clock.Clock
	Log       *logging.Log
	Metrics   metrics.Registry
}

// latencySampleSize is the number of latencies in the sample of the histogram.
const latencySampleSize = 1028

// Server handles the requests of callers. It is safe for concurrent use. Requests read the
// host's state from snapshots, without a lock. Locks are taken to wait in the queue of a
// service or to end an attempt while others wait in it, to borrow, to debit a budget while
// its share is replaced, to add the first entry of a service, release or route to a map,
// and to update the latency histogram.
type Server struct {
	Dependencies
	seed           maphash.Seed
	queues         *rcu.Cell[map[id.Service]*queue.Fair[id.Account]]
	stopping       atomic.Bool
	served         metrics.Counter
	refused        metrics.Counter
	outcomeUnknown metrics.Counter
	lookups        metrics.Counter
	latency        metrics.Histogram
}

// New returns a server.
func New(d Dependencies) *Server {
	return &Server{
		Dependencies:   d,
		seed:           maphash.MakeSeed(),
		queues:         rcu.New(map[id.Service]*queue.Fair[id.Account]{}),
		served:         metrics.NewRegisteredCounter("requests.served", d.Metrics),
		refused:        metrics.NewRegisteredCounter("requests.refused_not_run", d.Metrics),
		outcomeUnknown: metrics.NewRegisteredCounter("requests.outcome_unknown", d.Metrics),
		lookups:        metrics.NewRegisteredCounter("lookups.answered", d.Metrics),
		latency:        metrics.NewRegisteredHistogram("requests.latency_us", d.Metrics, metrics.NewUniformSample(latencySampleSize)),
	}
}

// queueOf returns the queue of the requests that wait for a free slot of a service. It
// adds the queue if there is none.
func (s *Server) queueOf(service id.Service) *queue.Fair[id.Account] {
	if q := (*s.queues.Load())[service]; q != nil {
		return q
	}
	s.queues.Update(func(old map[id.Service]*queue.Fair[id.Account]) map[id.Service]*queue.Fair[id.Account] {
		if old[service] != nil {
			return old
		}
		next := maps.Clone(old)
		next[service] = queue.New[id.Account](s.Clock)
		return next
	})
	return (*s.queues.Load())[service]
}

// Register adds the routes for callers to a router.
func (s *Server) Register(router *bunrouter.Router) {
	router.GET(caller.LookupPath, route.Handler(s.lookUp))
	handle := route.Handler(s.forward)
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/*path", handle)
	}
}

// Stop makes the server ask callers in every response to close their connections.
func (s *Server) Stop() { s.stopping.Store(true) }

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	account, refusal := s.lookupAccount(r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	table := s.Lookup.Load()
	answer := table.Lookup(s.regionOf(r), account, s.seedOf(r))
	if answer.Count == 0 {
		s.refuse(w, admit.ErrUpstreamsGone)
		return
	}
	s.lookups.Inc(1)
	data, err := caller.LookupCodec.Encode(caller.FromAnswer(answer))
	if err != nil {
		s.refuse(w, &admit.Refusal{Outcome: admit.NotRun, Reason: admit.Malformed, Detail: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(answer.TTL/time.Second)))
	_, _ = w.Write(data)
}

// lookupAccount returns the account of a look-up's key. A look-up without a key has no
// account, and its answer does not depend on budgets. Only a rejected or misplaced key
// refuses a look-up.
func (s *Server) lookupAccount(r *http.Request) (id.Account, *admit.Refusal) {
	callerKey, present, ok := caller.Key(r.Header)
	if !ok {
		return "", admit.ErrKeyMisplaced
	}
	if !present {
		return "", nil
	}
	request := admit.Request{HasKey: true, Hash: s.Hasher.Hash(callerKey)}
	account, refusal := s.Gate.Authenticate(&request, s.Clock.Now())
	if refusal != nil && refusal.Reason == admit.KeyRejected {
		return "", refusal
	}
	return account, nil
}

// regionOf returns the region that the caller names, else the region of its address block,
// else the region of this host.
func (s *Server) regionOf(r *http.Request) id.Region {
	if named := r.URL.Query().Get("region"); named != "" {
		return id.Region(named)
	}
	if address, err := netip.ParseAddr(clientAddress(r)); err == nil {
		if region, ok := s.Gate.Config.Load().Blocks().Region(address); ok {
			return region
		}
	}
	return s.Region
}

// seedOf returns the seed that spreads callers over hosts. It depends on the client that
// the look-up names, else on the caller's address.
func (s *Server) seedOf(r *http.Request) uint64 {
	if named := r.URL.Query().Get("client"); named != "" {
		return maphash.String(s.seed, named)
	}
	return maphash.String(s.seed, r.RemoteAddr)
}

func clientAddress(r *http.Request) string {
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return address
}

// refuse writes a refusal to the headers and the body of the response, and counts it.
func (s *Server) refuse(w http.ResponseWriter, refusal *admit.Refusal) {
	if refusal.Outcome == admit.NotRun {
		s.refused.Inc(1)
	} else {
		s.outcomeUnknown.Inc(1)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(caller.OutcomeHeader, string(refusal.Outcome))
	h.Set(caller.ReasonHeader, string(refusal.Reason))
	h.Set(caller.HostHeader, string(s.Host))
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((refusal.RetryAfter+time.Second-1)/time.Second)))
	}
	data, err := caller.RefusalCodec.Encode(caller.FromRefusal(refusal))
	if err != nil {
		data = []byte(`{"outcome":"` + string(refusal.Outcome) + `"}`)
	}
	w.WriteHeader(caller.Status(refusal))
	_, _ = w.Write(append(data, '\n'))
}
