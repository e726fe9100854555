// Package edge assembles an entry host on the users' platform and runs it.
package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/gossip"
	hostprotocol "celerypin.example/celerypin/internal/protocol/host"
	"celerypin.example/celerypin/internal/transport/host"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/internal/transport/route"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/platform"
)

// Times of a host's life.
const (
	// dialTimeout bounds a connection to an upstream. Across regions one takes
	// about 0.11 s; a lost packet is sent again after a second, which is too late.
	dialTimeout = 400 * time.Millisecond
	// storeDialTimeout bounds a connection to the store.
	storeDialTimeout = time.Second
	headerTime       = 5 * time.Second
	// noticePart and finishPart are parts of the time between SIGTERM and SIGKILL:
	// until when connections are accepted, and until when requests may run.
	noticePart = 0.5
	finishPart = 0.8
	// connectionsInterval is the interval at which idle connections are looked at.
	connectionsInterval = 2 * time.Second
)

// Limits that hold until the first desired state is known.
var firstLimits = http1.Limits{HeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

// Repeats: the ratio is each host's own, but the number beyond it is that of all
// hosts, which do not see each other's; it is divided by the fewest of them.
const (
	repeatRatioPart   = 0.95
	repeatReservePart = 0.45
	fewestHosts       = 8
)

// Edge is one entry host. New opens its listeners, Start begins its life, and
// Stop ends it gracefully: the host stops being ready and leaves the directory,
// serves on while clients learn of it, finishes what runs, and ends.
type Edge struct {
	settings atomic.Pointer[platform.Settings]
	clock    clock.Clock
	log      *logging.Log
	metrics  metrics.Registry
	measures measures
	leaving  atomic.Bool

	state    *rcu.Cell[*desired.State]
	approved *rcu.Cell[map[id.Service]id.Release]
	splits   *release.Splits
	recorder *release.Recorder
	placer   *place.Placer
	shares   *quota.Shares
	roster   *roster.Roster
	steerer  *steer.Steerer[*http1.Answer]
	pool     *http1.Pool
	store    *platform.Store
	copies   *copies
	keeper   *keeper
	mesh     *host.Mesh[gossip.Message]

	front   *http1.Server
	servers []*http.Server
	opened  []net.Listener
	tomb    tomb.Tomb
}

// New assembles a host. Nothing is started yet.
func New(s platform.Settings, c clock.Clock, log *logging.Log) *Edge {
	now := c.Now()
	e := &Edge{clock: c, log: log.Part("host"), metrics: metrics.NewRegistry()}
	e.settings.Store(&s)
	e.measures = newMeasures(e.metrics)
	self := roster.Member{
		Host:        fleet.Host{ID: s.Host, Region: s.Region, FailureDomain: s.FailureDomain, Address: s.CallerAddress, Capacity: roster.EstimateCapacity(s.CPU, s.LinkMbit)},
		PeerAddress: s.PeerAddress, Incarnation: id.Incarnation(c.Wall().UnixMilli()),
	}
	e.state = rcu.New[*desired.State](nil)
	e.approved = rcu.New(map[id.Service]id.Release{})
	e.splits = release.NewSplits()
	e.recorder = release.NewRecorder(e.splits)
	e.placer = place.New(s.Region, s.FailureDomain, s.Bounds.MaxShift, place.DefaultPolicy())
	e.shares = quota.New(quota.Tolerance{Window: s.Bounds.QuotaWindow, Excess: s.Bounds.QuotaExcess, Slack: s.Bounds.QuotaSlack}, now)
	e.roster = roster.New(self, now)
	e.pool = http1.NewPool(http1.NewDialer(dialTimeout), c)
	e.store = platform.NewStore(s.Store, &http.Transport{
		DialContext: http1.NewDialer(storeDialTimeout).DialContext, MaxIdleConnsPerHost: 8, DisableCompression: true,
	})
	e.copies = newCopies(e.store, c, log.Part("store"), min(s.Bounds.ConfigApply, s.Bounds.Drain))
	e.keeper = newKeeper(e, self, log.Part("control"))
	e.copies.brought = e.keeper.bring
	e.mesh = host.New[gossip.Message](s.Host, nil, gossip.Wire{}, e.keeper, log.Part("mesh"), c, e.metrics)
	e.steerer = steer.New(steer.Dependencies[*http1.Answer]{
		State: e.state, Shares: e.shares, Placer: e.placer, Splits: e.splits, Recorder: e.recorder, Approved: e.approvedOf,
		Sender: &sender{pool: e.pool}, Clock: c, Random: steer.SystemRandom{},
		RepeatRatio:   s.Bounds.RetryRatio * repeatRatioPart,
		RepeatReserve: s.Bounds.RetryExtra * repeatReservePart / fewestHosts,
	})
	e.front = http1.NewServer(&handler{edge: e, log: newRequestLog(log.Part("request"), c)}, e.limits, c)
	return e
}

func (e *Edge) approvedOf(service id.Service) id.Release { return (*e.approved.Load())[service] }

func (e *Edge) limits() http1.Limits {
	state := *e.state.Load()
	if state == nil {
		return firstLimits
	}
	l := state.Limits
	return http1.Limits{
		HeaderBytes: l.HeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout,
		// Clients use connections up to most of the limit; ending them a little
		// later keeps requests from crossing the end.
		IdleTimeout: l.IdleTimeout + idleSlack,
	}
}

const idleSlack = 2 * time.Second

// Start opens the listeners and begins to serve.
func (e *Edge) Start(ctx context.Context) error {
	s := e.settings.Load()
	front, err := e.listen(ctx, "listen.front", s.CallerAddress)
	if err != nil {
		return err
	}
	for _, l := range []struct {
		field, address string
		handler        http.Handler
	}{
		{"listen.readiness", s.ReadyAddress, e.readyRoutes()},
		{"listen.directory", s.DirectoryAddress, e.directoryRoutes()},
		{"internalPorts", s.PeerAddress, e.peerRoutes()},
		{"internalPorts", s.MetricsAddress, e.metricsRoutes()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := e.listen(ctx, l.field, l.address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTime}
		e.servers = append(e.servers, server)
		e.tomb.Go(func() error { return ended(server.Serve(listener)) })
	}
	background := e.tomb.Context(context.Background())
	e.tomb.Go(func() error { return e.front.Serve(front) })
	e.tomb.Go(func() error { return e.keeper.run(background) })
	e.copies.start(&e.tomb, background, e.keeper.wake)
	e.tomb.Go(func() error { return e.tendConnections(background) })
	e.log.With("host", s.Host).With("failure_domain", s.FailureDomain).With("region", s.Region).Info("Started.")
	return nil
}

func (e *Edge) listen(ctx context.Context, field, address string) (net.Listener, error) {
	l, err := http1.Listen(ctx, address)
	if err != nil {
		for _, open := range e.opened {
			_ = open.Close()
		}
		return nil, oops.Code("listen").With("field", field).Wrapf(err, "settings: field %s", field)
	}
	e.opened = append(e.opened, l)
	return l, nil
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// tendConnections closes idle connections to upstreams that are gone.
func (e *Edge) tendConnections(ctx context.Context) error {
	for e.clock.Sleep(ctx, connectionsInterval) {
		wanted := map[string]bool{}
		for _, u := range e.placer.Upstreams() {
			wanted[u.ConnectionKey()] = true
		}
		e.pool.Retain(func(key string) bool { return wanted[key] })
		e.measures.dialed.Update(e.pool.Dialed())
	}
	return nil
}

// Ready tells whether clients should use this host.
func (e *Edge) Ready() bool { return !e.leaving.Load() && *e.state.Load() != nil }

// Reload takes changed settings. Addresses and the place of the host cannot
// change while it runs; the bounds can.
func (e *Edge) Reload(s platform.Settings) {
	e.settings.Store(&s)
	e.log.Info("Settings reloaded.")
}

// Stop ends the host gracefully within the time that the platform gives.
func (e *Edge) Stop() {
	grace := e.settings.Load().Bounds.Grace
	began := e.clock.Now()
	e.leaving.Store(true)
	e.front.Drain()
	e.keeper.wake()
	e.log.With("requests", e.front.Active()).Info("Stopping.")
	e.clock.Sleep(context.Background(), time.Duration(noticePart*float64(grace)))
	_ = e.opened[0].Close()
	left := time.Duration(finishPart*float64(grace)) - e.clock.Now().Sub(began)
	finish, cancel := context.WithTimeout(context.Background(), left)
	e.front.Stop(finish)
	cancel()
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.mesh.Close()
	e.tomb.Kill(nil)
	e.log.With("requests", e.front.Active()).Info("Stopped.")
}

// Done is closed when a part has failed and the host cannot go on.
func (e *Edge) Done() <-chan struct{} { return e.tomb.Dying() }

// Err returns why the host ended.
func (e *Edge) Err() error { return e.tomb.Err() }

func (e *Edge) readyRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(platform.PathReady, route.Handler(func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	return router
}

func (e *Edge) peerRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(hostprotocol.Path, route.Handler(e.mesh.Accept))
	return router
}

// directoryKeep is how long clients may keep a directory answer. Some keep it
// three times as long, which must end before a leaving host does.
const directoryKeep = 1 * time.Second

func (e *Edge) directoryRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(platform.PathDirectory, route.Handler(func(w http.ResponseWriter, r *http.Request) {
		q := platform.ParseDirectoryQuery(r.URL.Query())
		near := e.roster.Nearby(q.Region, q.FailureDomain, e.leaving.Load(), e.clock.Now())
		keep := min(directoryKeep, e.settings.Load().Bounds.MaxTTL)
		data, err := platform.DirectoryAnswer(near, keep)
		if err != nil {
			e.log.With("error", err).Error("A directory answer could not be encoded.")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		e.measures.directory.Inc(1)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}))
	return router
}
