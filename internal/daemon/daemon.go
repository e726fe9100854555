// Package daemon assembles an entry host from its parts and runs it.
package daemon

import (
	"context"
	"errors"
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
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// Times of a host's life.
const (
	platformTimeout = time.Second
	// listInterval is the interval between two readings of the list of upstreams.
	listInterval = time.Second
	// noticeTime is how long callers may still come by look-up answers they keep,
	// with the time that hosts need to stop giving such answers.
	noticeTime = agent.LookupTTL + 2*time.Second
	// finishTime bounds the wait for requests under way.
	finishTime = 30 * time.Second
	// releaseTime bounds the giving back of shares.
	releaseTime = 5 * time.Second
	// startTime bounds the first contact with the platform or a peer.
	startTime  = 5 * time.Second
	headerTime = 5 * time.Second
	idleTime   = 60 * time.Second
	// timelineLength is the number of events that a host keeps.
	timelineLength = 4096
)

// Host is one entry host: its listeners, its agent, and its connections. Start
// begins its life; Stop ends it gracefully: the host leaves the look-up
// answers, waits until callers have dropped the answers they keep, finishes
// what runs, gives its shares back and closes its connections. Kill ends it at
// once, as a crash would.
type Host struct {
	settings settings.Serve
	clock    clock.Clock
	log      *logging.Log
	metrics  metrics.Registry
	events   *timeline.Ring

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

// New prepares a host and opens its listeners. Nothing is started; an error
// leaves nothing open.
func New(s settings.Serve, c clock.Clock, log *logging.Log) (*Host, error) {
	h := &Host{settings: s, clock: c, log: log.Part("host"), metrics: metrics.NewRegistry()}
	if err := h.listen(); err != nil {
		return nil, err
	}
	identity := agent.Identity{
		Host: s.Host, Incarnation: id.Incarnation(c.Wall().UnixMilli()), Region: s.Region, FailureDomain: s.FailureDomain,
		CallerAddress: orElse(s.CallerAddress, h.callerListener.Addr().String()),
		HostAddress:   orElse(s.HostAddress, h.hostListener.Addr().String()),
	}
	h.events = timeline.New(s.Host, identity.Incarnation, timelineLength)
	h.assemble(identity, log)
	return h, nil
}

func orElse(value, fallback string) string {
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
	h.runner = newRunner(a, h.clock, h.platform, platformTimeout, log.Part("agent"))
	h.mesh = host.New(identity.Host, secret, hostprotocol.Wire{}, h.runner, log.Part("mesh"), h.clock, h.metrics)
	h.claims = claim.New(identity.Host, identity.Incarnation, h.platform, h.clock)
	h.forwarder = upstream.NewForwarder(identity.Host, identity.Incarnation, h.clock)
	view := a.View()
	h.picker = pick.New(view.Splits)
	h.callers = caller.New(caller.Dependencies{
		Host: identity.Host, Region: identity.Region,
		Gate:   &admit.Controller{Config: view.Config, Ring: view.Ring, KeyLease: view.KeyedLease, Pool: view.Pool},
		Lookup: view.Lookup, Hasher: key.NewHasher(secret), Borrower: h.runner, Picker: h.picker, Recorder: view.Recorder,
		Claims: h.claims, Forwarder: h.forwarder, Clock: h.clock, Log: log.Part("caller"), Metrics: h.metrics,
	})
	h.hostServer = &http.Server{Handler: h.hostRoutes(), ReadHeaderTimeout: headerTime}
	h.callerServer = &http.Server{Handler: h.callerRoutes(log), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
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

// Start begins to serve. It fails if neither the platform nor a peer answers.
func (h *Host) Start(ctx context.Context) error {
	if err := h.firstContact(ctx); err != nil {
		_ = h.callerListener.Close()
		_ = h.hostListener.Close()
		h.platform.Close()
		return err
	}
	h.runner.read(func(a *agent.Agent, _ clock.Instant) {
		for _, p := range h.settings.Peers {
			a.AddPeer(p.Host)
		}
	})
	claimsContext, cancel := context.WithCancel(context.Background())
	h.cancelClaims = cancel
	background := h.tomb.Context(context.Background())
	h.tomb.Go(func() error {
		h.claims.Run(claimsContext)
		return nil
	})
	h.tomb.Go(func() error {
		h.pollUpstreams(background)
		return nil
	})
	h.tomb.Go(func() error {
		upstream.NewPoller(h.picker, h.clock).Run(background)
		return nil
	})
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

// firstContact checks that the platform answers. Without it a host may start
// only if it has peers to learn from.
func (h *Host) firstContact(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	list, err := h.platform.Upstreams(ctx)
	if err == nil {
		h.picker.Update(list)
		return nil
	}
	if len(h.settings.Peers) > 0 {
		h.log.With("error", err).Warn("The platform gives no answer; learning from peers.")
		return nil
	}
	return oops.Code("platform_unreachable").With("field", "platform").
		Hint("Check the URL and whether the platform runs, or name peers that run.").Wrapf(err, "platform %s", h.settings.Platform)
}

// pollUpstreams reads the platform's list of upstreams until ctx ends. While
// the platform gives no answer the last list stays in force.
func (h *Host) pollUpstreams(ctx context.Context) {
	for {
		if list, err := h.platform.Upstreams(ctx); err == nil {
			h.picker.Update(list)
		}
		if !h.clock.Sleep(ctx, listInterval) {
			return
		}
	}
}

// CallerAddress returns the address that callers use.
func (h *Host) CallerAddress() string { return h.callerListener.Addr().String() }

// Stop ends the host gracefully; ctx bounds the whole.
func (h *Host) Stop(ctx context.Context) {
	h.record(timeline.HostStopping, string(h.settings.Host), "leaving the look-up answers")
	h.runner.do(func(now clock.Instant) agent.Output { return h.runner.agent.Leave(now) })
	h.clock.Sleep(ctx, noticeTime)
	h.callers.Stop()
	h.record(timeline.HostStopping, string(h.settings.Host), "finishing the requests under way")
	finish, cancel := context.WithTimeout(ctx, finishTime)
	if err := h.callerServer.Shutdown(finish); err != nil {
		h.log.With("error", err).Warn("Requests were still running at the end of the wait.")
	}
	cancel()
	h.release(ctx)
	h.record(timeline.HostStopped, string(h.settings.Host), "shares given back")
	h.end()
}

// release gives the shares back and waits until that is recorded.
func (h *Host) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	h.runner.read(func(a *agent.Agent, now clock.Instant) { a.StopSpending(now) })
	for !h.released() && h.clock.Sleep(ctx, tickInterval) {
	}
}

func (h *Host) released() bool {
	released := false
	h.runner.read(func(a *agent.Agent, _ clock.Instant) { released = a.SharesReleased() })
	return released
}

// Kill ends the host at once: connections are cut, nothing is given back.
func (h *Host) Kill() {
	h.end()
}

func (h *Host) end() {
	_ = h.callerServer.Close()
	_ = h.hostServer.Close()
	h.mesh.Close()
	h.runner.stop()
	h.cancelClaims()
	h.tomb.Kill(nil)
	if err := h.tomb.Wait(); err != nil && !errors.Is(err, tomb.ErrDying) {
		h.log.With("error", err).Error("A part ended with an error.")
	}
	h.forwarder.Close()
	h.platform.Close()
}

// Attest takes an operator's word that an incarnation has ended.
func (h *Host) Attest(other id.Host, inc id.Incarnation) {
	h.runner.read(func(a *agent.Agent, _ clock.Instant) { a.AttestEnded(other, inc) })
}

// ApplyCommitted puts a row in force that was just committed for an operator.
func (h *Host) ApplyCommitted(row table.Row) { h.runner.committed(row) }

// Withdraw puts the withdrawal of a key in force.
func (h *Host) Withdraw(hash key.Hash) { h.runner.withdraw(hash) }

// Retreat takes a release back.
func (h *Host) Retreat(r release.ID) {
	h.runner.do(func(now clock.Instant) agent.Output { return h.runner.agent.Retreat(now, r) })
}

// Inspect lets a function look at the agent.
func (h *Host) Inspect(look func(a *agent.Agent, now clock.Instant)) { h.runner.read(look) }

// Metrics returns the host's metrics.
func (h *Host) Metrics() metrics.Registry { return h.metrics }

// Events returns the events of the host's time line.
func (h *Host) Events() []timeline.Event { return h.events.Events() }
