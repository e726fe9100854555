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

// Timeouts and intervals of a host.
const (
	// dialTimeout limits dialing an upstream. Across regions a connection takes
	// about 0.11 s; a lost packet is retransmitted after a second, which is too late.
	dialTimeout = 400 * time.Millisecond
	// storeDialTimeout limits dialing the store.
	storeDialTimeout = time.Second
	// headerTimeout limits reading a request's header on the listeners that do not
	// serve clients' requests.
	headerTimeout = 5 * time.Second
	// acceptFraction is the fraction of the time between SIGTERM and SIGKILL in
	// which connections are still accepted.
	acceptFraction = 0.5
	// finishFraction is the fraction of the time between SIGTERM and SIGKILL in
	// which running requests may finish.
	finishFraction = 0.8
	// connectionCheckInterval is the interval between checks for unused connections.
	connectionCheckInterval = 2 * time.Second
)

// initialLimits apply until the first desired state is known.
var initialLimits = http1.Limits{HeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

// Each host's part of the promised retry bound. The ratio holds for each host by
// itself. The number beyond the ratio is shared by all hosts, which do not see
// each other's retries, so it is divided by minHosts.
const (
	// retryRatioFraction is the fraction of the promised ratio that a host uses.
	retryRatioFraction = 0.95
	// retryReserveFraction is the fraction of the promised number beyond the ratio
	// that is divided among the hosts.
	retryReserveFraction = 0.45
	// minHosts is the smallest number of entry hosts that the division assumes.
	minHosts = 8
)

// Edge is one entry host. New assembles it, Start opens its listeners and begins
// to serve, and Stop shuts it down gracefully: the host reports that it is not
// ready and leaves the directory, keeps serving while clients move away, finishes
// the running requests, and closes.
type Edge struct {
	settings atomic.Pointer[platform.Settings]
	clock    clock.Clock
	log      *logging.Log
	registry metrics.Registry
	metrics  hostMetrics
	leaving  atomic.Bool

	state      *rcu.Cell[*desired.State]
	approved   *rcu.Cell[map[id.Service]id.Release]
	splits     *release.Splits
	recorder   *release.Recorder
	placer     *place.Placer
	shares     *quota.Shares
	roster     *roster.Roster
	steerer    *steer.Steerer[*http1.Answer]
	pool       *http1.Pool
	store      *platform.Store
	copies     *copies
	controller *controller
	mesh       *host.Mesh[gossip.Message]

	callerServer *http1.Server
	otherServers []*http.Server
	listeners    []net.Listener
	tomb         tomb.Tomb
}

// New assembles a host. Nothing runs before Start.
func New(s platform.Settings, c clock.Clock, log *logging.Log) *Edge {
	now := c.Now()
	e := &Edge{clock: c, log: log.Part("host"), registry: metrics.NewRegistry()}
	e.settings.Store(&s)
	e.metrics = newHostMetrics(e.registry)
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
	e.controller = newController(e, self, log.Part("control"))
	e.copies.onRead = e.controller.relayToRegion
	e.mesh = host.New[gossip.Message](s.Host, nil, gossip.Codec{}, e.controller, log.Part("mesh"), c, e.registry)
	e.steerer = steer.New(steer.Dependencies[*http1.Answer]{
		State: e.state, Shares: e.shares, Placer: e.placer, Splits: e.splits, Recorder: e.recorder, Approved: e.approvedRelease,
		Sender: &sender{pool: e.pool}, Clock: c, Random: steer.SystemRandom{},
		RepeatRatio:   s.Bounds.RetryRatio * retryRatioFraction,
		RepeatReserve: s.Bounds.RetryExtra * retryReserveFraction / minHosts,
	})
	e.callerServer = http1.NewServer(&handler{edge: e, log: newRequestLog(log.Part("request"), c)}, e.limits, c)
	return e
}

func (e *Edge) approvedRelease(service id.Service) id.Release { return (*e.approved.Load())[service] }

func (e *Edge) limits() http1.Limits {
	state := *e.state.Load()
	if state == nil {
		return initialLimits
	}
	l := state.Limits
	return http1.Limits{
		HeaderBytes: l.HeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout,
		// Clients reuse connections until shortly before the limit. Closing them
		// later avoids closing one while a request is on its way.
		IdleTimeout: l.IdleTimeout + idleMargin,
	}
}

// idleMargin is added to the idle timeout of the desired state.
const idleMargin = 2 * time.Second

// Start opens the listeners and begins to serve.
func (e *Edge) Start(ctx context.Context) error {
	s := e.settings.Load()
	callers, err := e.listen(ctx, "listen.front", s.CallerAddress)
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
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout}
		e.otherServers = append(e.otherServers, server)
		e.tomb.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
	}
	background := e.tomb.Context(context.Background())
	e.tomb.Go(func() error { return e.callerServer.Serve(callers) })
	e.tomb.Go(func() error { return e.controller.run(background) })
	e.copies.start(&e.tomb, background, e.controller.wake)
	e.tomb.Go(func() error { return e.closeUnusedConnections(background) })
	e.log.With("host", s.Host).With("failure_domain", s.FailureDomain).With("region", s.Region).Info("Started.")
	return nil
}

func (e *Edge) listen(ctx context.Context, field, address string) (net.Listener, error) {
	l, err := http1.Listen(ctx, address)
	if err != nil {
		for _, open := range e.listeners {
			_ = open.Close()
		}
		return nil, oops.Code("listen").With("field", field).Wrapf(err, "settings: field %s", field)
	}
	e.listeners = append(e.listeners, l)
	return l, nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// closeUnusedConnections periodically closes idle connections to upstreams that
// are no longer listed.
func (e *Edge) closeUnusedConnections(ctx context.Context) error {
	for e.clock.Sleep(ctx, connectionCheckInterval) {
		inUse := map[string]bool{}
		for _, u := range e.placer.Upstreams() {
			inUse[u.ConnectionKey()] = true
		}
		e.pool.Retain(func(key string) bool { return inUse[key] })
		e.metrics.dialed.Update(e.pool.Dialed())
	}
	return nil
}

// Ready reports whether clients should use this host.
func (e *Edge) Ready() bool { return !e.leaving.Load() && *e.state.Load() != nil }

// Reload applies changed settings. The bounds may change while the host runs; its
// addresses, region and failure domain may not.
func (e *Edge) Reload(s platform.Settings) {
	e.settings.Store(&s)
	e.log.Info("Settings reloaded.")
}

// Stop shuts the host down gracefully, within the time between SIGTERM and SIGKILL.
func (e *Edge) Stop() {
	grace := e.settings.Load().Bounds.Grace
	startedAt := e.clock.Now()
	e.leaving.Store(true)
	e.callerServer.Drain()
	e.controller.wake()
	e.log.With("requests", e.callerServer.Active()).Info("Stopping.")
	e.clock.Sleep(context.Background(), time.Duration(acceptFraction*float64(grace)))
	_ = e.listeners[0].Close()
	remaining := time.Duration(finishFraction*float64(grace)) - e.clock.Now().Sub(startedAt)
	finishCtx, cancel := context.WithTimeout(context.Background(), remaining)
	e.callerServer.Stop(finishCtx)
	cancel()
	for _, s := range e.otherServers {
		_ = s.Close()
	}
	e.mesh.Close()
	e.tomb.Kill(nil)
	e.log.With("requests", e.callerServer.Active()).Info("Stopped.")
}

// Done returns a channel that is closed when the host stops or a component fails.
func (e *Edge) Done() <-chan struct{} { return e.tomb.Dying() }

// Err returns why the host stopped.
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

// directoryTTL is how long clients may cache a directory answer. Some cache it for
// three times as long, which must be over before a leaving host closes.
const directoryTTL = 1 * time.Second

func (e *Edge) directoryRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(platform.PathDirectory, route.Handler(func(w http.ResponseWriter, r *http.Request) {
		q := platform.ParseDirectoryQuery(r.URL.Query())
		addresses := e.roster.Nearby(q.Region, q.FailureDomain, e.leaving.Load(), e.clock.Now())
		ttl := min(directoryTTL, e.settings.Load().Bounds.MaxTTL)
		data, err := platform.DirectoryAnswer(addresses, ttl)
		if err != nil {
			e.log.With("error", err).Error("The directory answer could not be encoded.")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		e.metrics.directory.Inc(1)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}))
	return router
}
