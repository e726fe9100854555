// Package edge assembles and runs an entry host on the platform, with the settings file
// that the platform writes. Package daemon runs a host with a settings file of the
// project's own format.
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
	"celerypin.example/celerypin/pkg/state/confine"
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
	// maxResponseHeaderBytes bounds the head of an answer of the store.
	maxResponseHeaderBytes = 64 << 10
	// headerTimeout limits reading a request's header on the listeners that do not
	// serve clients' requests.
	headerTimeout = 5 * time.Second
	// acceptFraction is the fraction of the time between SIGTERM and SIGKILL in
	// which connections are still accepted.
	acceptFraction = 0.5
	// closeReserve is the time before SIGKILL that is kept for closing. It covers the
	// flush of the log and the delay with which a throttled process handles SIGTERM.
	closeReserve = 500 * time.Millisecond
	// maxCloseFraction bounds closeReserve, as a fraction of the time between SIGTERM and
	// SIGKILL: requests may run into the last sixth of that time.
	maxCloseFraction = 1.0 / 12
	// stopAnswerTimeout limits the wait for the answers of requests that are cancelled because
	// the time to stop is over. It is at most stopAnswerFraction of the time that is kept for
	// closing, so that a host with little time still ends before SIGKILL.
	stopAnswerTimeout  = 250 * time.Millisecond
	stopAnswerFraction = 0.75
	// connectionCheckInterval is the interval between checks for unused connections.
	connectionCheckInterval = 2 * time.Second
)

// initialLimits are the limits that apply until the first desired state is known.
var initialLimits = http1.Limits{HeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

// Each host's part of the promised retry bound. The ratio holds for each host by
// itself. The number beyond the ratio is shared by all hosts, which do not see each
// other's retries. retryReserve divides it by the number of hosts that clients use.
const (
	// retryRatioFraction is the fraction of the promised ratio that a host uses.
	retryRatioFraction = 0.95
	// retryReserveFraction is the fraction of the promised number of retries beyond
	// the ratio that the hosts divide among them.
	retryReserveFraction = 0.45
	// maxReserveFraction is the fraction that all hosts together use at most.
	maxReserveFraction = 0.9
	// minHosts is the smallest number of entry hosts that the division assumes.
	minHosts = 8
)

// Host is one entry host. New assembles it, Start opens its listeners and begins
// to serve, and Stop shuts it down gracefully: the host reports that it is not
// ready and leaves the directory, keeps serving while clients move away, finishes
// the running requests, and closes.
//
// The control loop, one goroutine, and the goroutines of requests meet in these fields:
//   - The loop alone replaces state, approved and splits. Requests read their snapshots
//     without a lock. The three are not replaced together, so a request may see a new
//     state with earlier splits.
//   - The loop alone updates the list of upstreams in placer and the shares in shares.
//     Requests read these, and change the tokens of the shares and what placer observes
//     of each upstream.
//   - Requests count in recorder and in shares. The loop reads these counts and reports
//     them to other hosts.
//
// Requests do not use settings, leaving, roster, store, copies, controller and mesh. The
// loop reads settings and leaving, and it alone changes roster. It does not use steerer,
// pool, metrics and callerServer.
//
// One goroutine runs the duty, if there is one (dutyRunner).
//
// Goroutines other than these kinds read the store, apply rows to copies, relay rows
// through mesh, write the rows that the loop has decided, answer directory and readiness
// queries, and close unused connections. None of them replaces what requests read.
type Host struct {
	// settings is replaced by Reload.
	settings atomic.Pointer[platform.Settings]
	clock    clock.Clock
	log      *logging.Log
	registry metrics.Registry
	metrics  hostMetrics
	guard    *confine.Guard
	// failing is set from a panic of the control loop until the loop completes a step.
	failing atomic.Bool
	// leaving is set when Stop begins.
	leaving atomic.Bool
	// stop is set when Stop begins; nil before that.
	stop atomic.Pointer[stopTimes]

	// state holds the desired state in force, or nil until the first is known. The loop
	// stores it after it has divided its quotas.
	state *rcu.Cell[*desired.State]
	// approved holds the approved release of each service. Requests read it through
	// approvedRelease.
	approved   *rcu.Cell[map[id.Service]id.Release]
	splits     *release.Splits
	recorder   *release.Recorder
	placer     *place.Placer
	shares     *quota.Shares
	tokenPool  *quota.Pool
	drawer     *quota.Drawer
	roster     *roster.Roster
	steerer    *steer.Steerer[*http1.Answer]
	pool       *http1.Pool
	store      *platform.Store
	copies     *copies
	controller *controller
	// usage is nil unless the settings ask for usage reports.
	usage *usageExchange
	mesh  *host.Mesh[gossip.Message]
	// duty is nil unless the settings name a duty that this build knows.
	duty *dutyRunner

	clientServer *http1.Server
	otherServers []*http.Server
	// listeners are the open listeners. The first one is for clients' requests.
	listeners []net.Listener
	tomb      tomb.Tomb
}

// New assembles a host with what its settings file and the options state. Nothing runs before
// Start.
func New(s platform.Settings, c clock.Clock, log *logging.Log, options ...Option) *Host {
	now := c.Now()
	o := newOptions(options)
	h := &Host{clock: c, log: log.Part("host"), registry: metrics.NewRegistry()}
	h.settings.Store(&s)
	h.metrics = newHostMetrics(h.registry)
	h.guard = confine.New(c, h.reportPanic)
	self := roster.Member{
		Host:        fleet.Host{ID: s.Host, Region: s.Region, FailureDomain: s.FailureDomain, Address: s.CallerAddress, Capacity: roster.EstimateCapacity(s.CPU, s.LinkMbit)},
		PeerAddress: s.PeerAddress, Incarnation: id.Incarnation(c.Wall().UnixMilli()),
	}
	h.state = rcu.New[*desired.State](nil)
	h.approved = rcu.New(map[id.Service]id.Release{})
	h.splits = release.NewSplits()
	h.recorder = release.NewRecorder(h.splits)
	h.placer = place.New(s.Region, s.FailureDomain, s.Bounds.MaxShift, place.DefaultPolicy())
	tolerance := quota.Tolerance{Window: s.Bounds.QuotaWindow, Excess: s.Bounds.QuotaExcess, Slack: s.Bounds.QuotaSlack}
	h.shares = quota.New(tolerance, now)
	h.tokenPool = quota.NewPool(tolerance)
	h.drawer = quota.NewDrawer(s.Host, h.tokenPool, c, h.sendAsk)
	h.roster = roster.New(self, now)
	h.pool = http1.NewPool(http1.NewDialer(dialTimeout), http1.DefaultAnswerLimits, c, h.guard)
	h.store = platform.NewStore(s.Store, http1.NewTransport(http1.NewDialer(storeDialTimeout), &http.Transport{
		MaxIdleConnsPerHost: 8, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}))
	h.copies = newCopies(h.store, c, log.Part("store"), min(s.Bounds.ConfigApply, s.Bounds.Drain))
	h.controller = newController(h, self, log.Part("control"))
	h.usage = newUsageExchange(h, self, log.Part("usage"))
	h.copies.onRead = h.controller.relayToRegion
	h.mesh = host.New[gossip.Message](s.Host, nil, gossip.Codec{}, h.controller, log.Part("mesh"), c, h.guard, h.registry)
	h.steerer = steer.New(steer.Dependencies[*http1.Answer]{
		State: h.state, Shares: h.shares, Draw: h.drawer.Draw, Current: h.controller.current, Accepts: h.accepts, Placer: h.placer, Splits: h.splits, Recorder: h.recorder, Approved: h.approvedRelease,
		Sender: &sender{pool: h.pool, log: log.Part("upstreams")}, Clock: c, Random: steer.SystemRandom{},
		Meter:        h.usage.requestMeter(),
		RetryRatio:   s.Bounds.RetryRatio * retryRatioFraction,
		RetryReserve: retryReserve(s.Bounds.RetryExtra, minHosts),
		Hedging:      h.hedging(o.hedgeFraction),
	})
	if s.Duties.Includes(platform.DutyUsageReport) {
		h.duty = newDutyRunner(h, platform.DutyUsageReport, self.Incarnation, log.Part("duty"))
		h.startUsageTask(log.Part("usage"))
	}
	h.clientServer = http1.NewServer(&handler{host: h, log: newRequestLog(log.Part("request"), c)}, h.limits, c, h.guard)
	return h
}

func (h *Host) approvedRelease(service id.Service) id.Release { return (*h.approved.Load())[service] }

// limits returns the limits of clients' connections and requests.
func (h *Host) limits() http1.Limits {
	state := *h.state.Load()
	if state == nil {
		return initialLimits
	}
	l := state.Limits
	return http1.Limits{
		HeaderBytes: l.HeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout,
		// Clients reuse connections until shortly before the limit. The host closes
		// them later than that, so that it does not close one while a request is on
		// its way.
		IdleTimeout: l.IdleTimeout + idleMargin,
	}
}

// idleMargin is added to the idle timeout of the desired state.
const idleMargin = 2 * time.Second

// retryReserve returns a host's part of the promised number of retries beyond the ratio,
// given the number of hosts that clients use.
func retryReserve(promised float64, hosts int) float64 {
	return promised * min(retryReserveFraction/minHosts, maxReserveFraction/float64(max(hosts, 1)))
}

// Start opens the listeners and begins to serve.
func (h *Host) Start(ctx context.Context) error {
	s := h.settings.Load()
	callerListener, err := h.listen(ctx, "listen.front", s.CallerAddress)
	if err != nil {
		return err
	}
	for _, l := range []struct {
		field, address string
		handler        http.Handler
	}{
		{"listen.readiness", s.ReadyAddress, h.readyRoutes()},
		{"listen.directory", s.DirectoryAddress, h.directoryRoutes()},
		{"internalPorts", s.PeerAddress, h.peerRoutes()},
		{"internalPorts", s.MetricsAddress, h.metricsRoutes()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := h.listen(ctx, l.field, l.address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: h.confined(l.handler), ReadHeaderTimeout: headerTimeout}
		h.otherServers = append(h.otherServers, server)
		h.tomb.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
	}
	background := h.tomb.Context(context.Background())
	h.tomb.Go(func() error { return h.clientServer.Serve(callerListener) })
	h.supervise(background, "control loop", h.controller.restart, h.controller.run)
	for name, table := range h.copies.tables {
		h.supervise(background, confine.Task("copy of "+name), func() {}, func(ctx context.Context) error {
			return h.copies.follow(ctx, name, table, h.controller.wake)
		})
	}
	h.supervise(background, "idle connections", func() {}, h.closeUnusedConnections)
	if h.duty != nil {
		h.supervise(background, taskDuty, func() {}, h.duty.run)
	}
	if unknown := s.Duties.Unknown(); len(unknown) > 0 {
		h.log.With("duties", unknown).Warn("The settings name duties that this build does not know; they are ignored.")
	}
	h.log.With("host", s.Host).With("failure_domain", s.FailureDomain).With("region", s.Region).Info("Started.")
	return nil
}

func (h *Host) listen(ctx context.Context, field, address string) (net.Listener, error) {
	l, err := http1.Listen(ctx, address)
	if err != nil {
		for _, open := range h.listeners {
			_ = open.Close()
		}
		return nil, oops.Code("listen").With("field", field).Wrapf(err, "settings: field %s", field)
	}
	h.listeners = append(h.listeners, l)
	return l, nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// closeUnusedConnections periodically closes idle connections to upstreams that
// are leaving or no longer listed.
func (h *Host) closeUnusedConnections(ctx context.Context) error {
	for h.clock.Sleep(ctx, connectionCheckInterval) {
		inUse := map[string]bool{}
		for _, u := range h.placer.Upstreams() {
			inUse[u.ConnectionKey()] = !u.Draining()
		}
		h.pool.Retain(func(key string) bool { return inUse[key] })
		h.metrics.dialed.Update(h.pool.Dialed())
		h.metrics.storeEra.Update(int64(h.store.Era()))
	}
	return nil
}

// Ready reports whether clients should use this host.
func (h *Host) Ready() bool {
	return !h.leaving.Load() && !h.failing.Load() && *h.state.Load() != nil
}

// Reload replaces the settings. The changes take effect for the regions of the
// failure domains and for the bounds Grace, MaxTTL, ColdExcess and ColdSlack. New
// has passed the other bounds on to components that do not read them again. The
// host's addresses, region and failure domain must not change while it runs.
func (h *Host) Reload(s platform.Settings) {
	h.settings.Store(&s)
	h.log.Info("Settings reloaded.")
}

// Done returns a channel that is closed when the host stops or a component fails.
func (h *Host) Done() <-chan struct{} { return h.tomb.Dying() }

// Err returns why the host stopped.
func (h *Host) Err() error { return h.tomb.Err() }

func (h *Host) readyRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(platform.PathReady, route.Handler(func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	return router
}

func (h *Host) peerRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(hostprotocol.Path, route.Handler(h.mesh.Accept))
	return router
}

// directoryTTL is how long clients may cache a directory answer. Some clients cache
// it for three times as long; that time must end before a leaving host closes.
const directoryTTL = 1 * time.Second

func (h *Host) directoryRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(platform.PathDirectory, route.Handler(func(w http.ResponseWriter, r *http.Request) {
		q := platform.ParseDirectoryQuery(r.URL.Query())
		addresses := h.roster.Nearby(q.Region, q.FailureDomain, h.leaving.Load(), h.clock.Now())
		ttl := min(directoryTTL, h.settings.Load().Bounds.MaxTTL)
		data, err := platform.DirectoryAnswer(addresses, ttl)
		if err != nil {
			h.log.With("error", err).Error("The directory answer could not be encoded.")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		h.metrics.directory.Inc(1)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}))
	return router
}
