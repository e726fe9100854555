// Package daemon assembles an entry host on the project's own platform interface and
// runs it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"celerypin.example/celerypin/internal/logging"
	hostprotocol "celerypin.example/celerypin/internal/protocol/host"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/transport/caller"
	"celerypin.example/celerypin/internal/transport/host"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/internal/transport/platform"
	"celerypin.example/celerypin/internal/transport/route"
	"celerypin.example/celerypin/internal/transport/upstream"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/coordination/claim"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// Timeouts, intervals and limits of a host.
const (
	// platformTimeout limits one request to the platform.
	platformTimeout = time.Second
	// upstreamListInterval is the interval between reads of the platform's list of upstreams.
	upstreamListInterval = time.Second
	// lookupDrainDelay is how long callers may still use cached look-up answers that name
	// the host, plus the time that the hosts need to stop naming it.
	lookupDrainDelay = agent.LookupTTL + 2*time.Second
	// requestDrainTimeout limits the wait for requests in flight at a graceful stop.
	requestDrainTimeout = 30 * time.Second
	// shareReleaseTimeout limits the wait until the returned shares are recorded.
	shareReleaseTimeout = 5 * time.Second
	// startTimeout limits the first request to the platform.
	startTimeout  = 5 * time.Second
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// timelineCapacity is the number of events that the time line keeps.
	timelineCapacity = 4096
)

// Host is one entry host: its listeners, its agent, and its connections. Start
// starts serving. Stop stops the host gracefully: the host is removed from the
// look-up answers, waits until callers have dropped their cached answers, finishes
// the requests in flight, returns its shares and closes its connections. Kill stops
// the host at once, as a crash would.
type Host struct {
	settings settings.Serve
	clock    clock.Clock
	log      *logging.Log
	metrics  metrics.Registry
	events   *timeline.Buffer
	guard    *confine.Guard

	runner    *runner
	mesh      *host.Mesh[agent.Message]
	platform  *platform.Client
	picker    *pick.Picker
	claims    *claim.Registry
	forwarder *upstream.Forwarder
	callers   *caller.Server

	callerListener net.Listener
	hostListener   net.Listener
	callerServer   *http.Server
	hostServer     *http.Server
	tomb           tomb.Tomb
	cancelClaims   context.CancelFunc
}

// New returns a host whose listeners are open. It starts no goroutine. On an error
// no listener stays open.
func New(s settings.Serve, c clock.Clock, log *logging.Log) (*Host, error) {
	h := &Host{settings: s, clock: c, log: log.Part("host"), metrics: metrics.NewRegistry()}
	h.guard = confine.New(c, h.reportPanic)
	if err := h.listen(); err != nil {
		return nil, err
	}
	identity := agent.Identity{
		Host: s.Host, Incarnation: id.Incarnation(c.Wall().UnixMilli()), Region: s.Region, FailureDomain: s.FailureDomain,
		CallerAddress: orDefault(s.CallerAddress, h.callerListener.Addr().String()),
		HostAddress:   orDefault(s.HostAddress, h.hostListener.Addr().String()),
	}
	h.events = timeline.New(s.Host, identity.Incarnation, timelineCapacity)
	h.assemble(identity, log)
	return h, nil
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func (h *Host) listen() error {
	var err error
	if h.callerListener, err = net.Listen("tcp", h.settings.CallerListen); err != nil {
		return oops.Code("listen").With("field", "caller_listen").Hint("Stop the process that uses the port, or set another one.").
			Wrapf(err, "caller_listen")
	}
	if h.hostListener, err = net.Listen("tcp", h.settings.HostListen); err != nil {
		_ = h.callerListener.Close()
		return oops.Code("listen").With("field", "host_listen").Hint("Stop the process that uses the port, or set another one.").
			Wrapf(err, "host_listen")
	}
	return nil
}

func (h *Host) assemble(identity agent.Identity, log *logging.Log) {
	secret := []byte(h.settings.FleetSecret)
	h.platform = platform.New(h.settings.Platform, identity.Host, platformTimeout)
	a := agent.New(identity, agent.DefaultTiming(), agent.DemandPolicy, h.record)
	h.runner = newRunner(a, h.clock, h.platform, platformTimeout, log.Part("agent"), h.guard)
	h.mesh = host.New(identity.Host, secret, hostprotocol.Codec{}, h.runner, log.Part("mesh"), h.clock, h.guard, h.metrics)
	h.claims = claim.New(identity.Host, identity.Incarnation, h.platform, h.clock)
	h.forwarder = upstream.NewForwarder(identity.Host, identity.Incarnation, h.clock)
	view := a.View()
	h.picker = pick.New(view.Splits)
	h.callers = caller.New(caller.Dependencies{
		Host: identity.Host, Region: identity.Region,
		Gate:   &admit.Controller{Config: view.Config, Ring: view.Ring, KeyedLease: view.KeyedLease, Pool: view.Pool},
		Lookup: view.Lookup, Hasher: key.NewHasher(secret), Borrower: h.runner, Picker: h.picker, Recorder: view.Recorder,
		Claims: h.claims, Forwarder: h.forwarder, Clock: h.clock, Log: log.Part("caller"), Metrics: h.metrics,
	})
	h.hostServer = &http.Server{Handler: h.hostRoutes(), ReadHeaderTimeout: headerTimeout}
	h.callerServer = &http.Server{Handler: caller.CloseOldConnections(h.callerRoutes(log)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func (h *Host) hostRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(hostprotocol.Path, route.Handler(h.mesh.Accept))
	return router
}

func (h *Host) callerRoutes(log *logging.Log) http.Handler {
	router := bunrouter.New()
	operator.New(operator.Dependencies{
		Control: h, Token: h.settings.OperatorToken, Hasher: key.NewHasher([]byte(h.settings.FleetSecret)),
		Service: h.platform, Clock: h.clock, Log: log.Part("operator"), Metrics: h.metrics,
	}).Register(router)
	h.callers.Register(router)
	return router
}

func (h *Host) record(kind timeline.Kind, subject, reason string) {
	h.events.Add(h.clock.Wall(), kind, subject, reason)
	h.log.With("subject", subject).With("reason", reason).Info("Event " + string(kind) + ".")
}

// reportPanic logs a confined panic.
func (h *Host) reportPanic(p confine.Panic) {
	h.log.With("task", p.Task).With("error", fmt.Sprint(p.Value)).With("stack", string(p.Stack)).With("panics", p.Total).
		Error("A panic was confined to its task.")
}

// Start starts serving. It returns an error if the platform does not answer and the
// settings name no peers.
func (h *Host) Start(ctx context.Context) error {
	if err := h.checkPlatform(ctx); err != nil {
		_ = h.callerListener.Close()
		_ = h.hostListener.Close()
		h.platform.Close()
		return err
	}
	h.runner.inspect(func(a *agent.Agent, _ clock.Instant) {
		for _, p := range h.settings.Peers {
			a.AddPeer(p.Host)
		}
	})
	claimsCtx, cancel := context.WithCancel(context.Background())
	h.cancelClaims = cancel
	background := h.tomb.Context(context.Background())
	h.tomb.Go(func() error {
		h.claims.Run(claimsCtx)
		return nil
	})
	for task, loop := range map[confine.Task]func(context.Context){
		"list of upstreams": h.pollUpstreams, "health of upstreams": upstream.NewPoller(h.picker, h.clock).Run,
	} {
		h.tomb.Go(func() error {
			return h.guard.Supervise(background, task, func() {}, func(ctx context.Context) error {
				loop(ctx)
				return nil
			})
		})
	}
	go serve(h.hostServer, h.hostListener)
	h.runner.start(h.mesh)
	for _, p := range h.settings.Peers {
		h.mesh.SetAddress(p.Host, p.Address)
	}
	go serve(h.callerServer, h.callerListener)
	h.record(timeline.HostStarted, string(h.settings.Host), "listening on "+h.callerListener.Addr().String())
	return nil
}

func serve(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// checkPlatform reads the list of upstreams once. If the read fails, the host may start
// only if the settings name peers, from which it receives the table's rows.
func (h *Host) checkPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	list, err := h.platform.Upstreams(ctx)
	if err == nil {
		h.picker.Update(list)
		return nil
	}
	if len(h.settings.Peers) > 0 {
		h.log.With("error", err).Warn("The platform does not answer; the table's rows will come from peers.")
		return nil
	}
	return oops.Code("platform_unreachable").With("field", "platform").
		Hint("Check the URL and whether the platform runs, or name peers that run.").Wrapf(err, "platform %s", h.settings.Platform)
}

// pollUpstreams reads the platform's list of upstreams periodically until ctx ends.
// If a read fails, the last list stays in force.
func (h *Host) pollUpstreams(ctx context.Context) {
	for {
		if list, err := h.platform.Upstreams(ctx); err == nil {
			h.picker.Update(list)
		}
		if !h.clock.Sleep(ctx, upstreamListInterval) {
			return
		}
	}
}

// CallerAddress returns the address on which the host serves callers.
func (h *Host) CallerAddress() string { return h.callerListener.Addr().String() }

// Stop stops the host gracefully. When ctx ends, the remaining waits end early.
func (h *Host) Stop(ctx context.Context) {
	h.record(timeline.HostStopping, string(h.settings.Host), "leaving the look-up answers")
	h.runner.update(func(now clock.Instant) agent.Output { return h.runner.agent.Leave(now) })
	h.clock.Sleep(ctx, lookupDrainDelay)
	h.callers.Stop()
	h.record(timeline.HostStopping, string(h.settings.Host), "finishing the requests under way")
	finish, cancel := context.WithTimeout(ctx, requestDrainTimeout)
	if err := h.callerServer.Shutdown(finish); err != nil {
		h.log.With("error", err).Warn("Requests were still in flight when the wait for them ended.")
	}
	cancel()
	h.releaseShares(ctx)
	h.record(timeline.HostStopped, string(h.settings.Host), "shares given back")
	h.close()
}

// releaseShares returns the host's shares and waits until that is recorded.
func (h *Host) releaseShares(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shareReleaseTimeout)
	defer cancel()
	h.runner.inspect(func(a *agent.Agent, now clock.Instant) { a.StopSpending(now) })
	for !h.sharesReleased() && h.clock.Sleep(ctx, tickInterval) {
	}
}

func (h *Host) sharesReleased() bool {
	released := false
	h.runner.inspect(func(a *agent.Agent, _ clock.Instant) { released = a.SharesReleased() })
	return released
}

// Kill stops the host at once: it cuts the connections and returns no shares.
func (h *Host) Kill() {
	h.close()
}

func (h *Host) close() {
	_ = h.callerServer.Close()
	_ = h.hostServer.Close()
	h.mesh.Close()
	h.runner.stop()
	h.cancelClaims()
	h.tomb.Kill(nil)
	if err := h.tomb.Wait(); err != nil && !errors.Is(err, tomb.ErrDying) {
		h.log.With("error", err).Error("A background task failed.")
	}
	h.forwarder.Close()
	h.platform.Close()
}

// Attest records an operator's statement that an incarnation has ended.
func (h *Host) Attest(other id.Host, inc id.Incarnation) {
	h.runner.inspect(func(a *agent.Agent, _ clock.Instant) { a.AttestEnded(other, inc) })
}

// ApplyCommitted applies a row that was just committed for an operator.
func (h *Host) ApplyCommitted(row table.Row) { h.runner.applyCommitted(row) }

// Withdraw puts the withdrawal of a key in force.
func (h *Host) Withdraw(hash key.Hash) { h.runner.withdraw(hash) }

// Retreat takes a release back.
func (h *Host) Retreat(r release.ID) {
	h.runner.update(func(now clock.Instant) agent.Output { return h.runner.agent.Retreat(now, r) })
}

// Inspect calls f with the agent locked.
func (h *Host) Inspect(f func(a *agent.Agent, now clock.Instant)) { h.runner.inspect(f) }

// Metrics returns the registry of the host's metrics.
func (h *Host) Metrics() metrics.Registry { return h.metrics }

// Events returns the events of the host's time line.
func (h *Host) Events() []timeline.Event { return h.events.Events() }
