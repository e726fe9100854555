// Package demo runs the main job on loopback in one process: entry hosts of
// three regions, stand-ins of the platform and of upstreams, and callers.
package demo

import (
	"context"
	"crypto/rand"
	_ "embed"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"celerypin.example/celerypin/internal/daemon"
	"celerypin.example/celerypin/internal/logging"
	operatorprotocol "celerypin.example/celerypin/internal/protocol/operator"
	platformprotocol "celerypin.example/celerypin/internal/protocol/platform"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/standin/caller"
	"celerypin.example/celerypin/internal/standin/platform"
	"celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/internal/transport/operator"
	platformtransport "celerypin.example/celerypin/internal/transport/platform"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

//go:embed default.json
var defaultDocument []byte

// Document is what the demo is made from.
type Document struct {
	Regions        []id.Region       `json:"regions" validate:"required,min=1"`
	HostsPerRegion int               `json:"hosts_per_region" validate:"gt=0,lte=12"`
	Workers        []settings.Worker `json:"workers" validate:"required,dive"`
	Config         config.Config     `json:"config"`
	// Demand is the number of requests per second of each account.
	Demand []Demand `json:"demand" validate:"required,dive"`
}

// Demand is the load of one account.
type Demand struct {
	Account       id.Account `json:"account" validate:"required"`
	RatePerSecond float64    `json:"rate_per_second" validate:"gt=0,lte=10000"`
	Callers       int        `json:"callers" validate:"gt=0,lte=100"`
}

// Default returns the embedded document.
func Default() (Document, error) {
	return settings.Decode[Document]("default.json", defaultDocument)
}

// Fault is something that happens in the middle of the demo.
type Fault string

// Faults of the demo.
const (
	FaultNone Fault = "none"
	// FaultKillHost ends a host as a crash would.
	FaultKillHost Fault = "kill-host"
	// FaultStopHost ends a host gracefully.
	FaultStopHost Fault = "stop-host"
	// FaultStoreUnavailable makes the platform answer that it is out.
	FaultStoreUnavailable Fault = "store-out"
	// FaultStoreSilent makes the platform give no answer.
	FaultStoreSilent Fault = "store-silent"
)

// Options are the choices of one run.
type Options struct {
	Duration time.Duration
	Fault    Fault
	// Progress receives lines for people; Log receives the hosts' logs.
	Progress io.Writer
	Log      *logging.Log
}

// Demo is a deployment in one process.
type Demo struct {
	document Document
	clock    clock.Clock
	log      *logging.Log
	platform *platform.Server
	workers  []*upstream.Worker
	hosts    []*daemon.Host
	token    string
	secret   string
	keys     map[id.Account]string
	callers  []*caller.Caller
}

// startTime bounds the start of the deployment.
const startTime = 20 * time.Second

// Run starts a deployment, loads it, stops it and reports.
func Run(ctx context.Context, document Document, o Options) (Report, error) {
	d := &Demo{document: document, clock: clock.System{}, log: o.Log, token: randomText(), secret: randomText(), keys: map[id.Account]string{}}
	defer d.Close()
	say := func(format string, args ...any) { fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...) }
	say("starting %d hosts, %d upstreams and a platform on loopback", len(document.Regions)*document.HostsPerRegion, len(document.Workers))
	if err := d.Start(ctx); err != nil {
		return Report{}, err
	}
	say("all hosts have their leases; sending requests for %v", roundUp(o.Duration))
	d.load(ctx, o, say)
	say("done; comparing what callers and upstreams recorded")
	return d.witness().report(), nil
}

func randomText() string {
	var data [16]byte
	_, _ = rand.Read(data[:])
	return hex.EncodeToString(data[:])
}

// Start brings up the deployment and waits until it can serve all accounts.
func (d *Demo) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	var err error
	if d.platform, err = platform.New("127.0.0.1:0", platformprotocol.Knobs{}, d.clock); err != nil {
		return err
	}
	d.platform.Start()
	if err := d.startWorkers(ctx); err != nil {
		return err
	}
	if err := d.startHosts(ctx); err != nil {
		return err
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	return d.awaitBudgets(ctx)
}

func (d *Demo) startWorkers(ctx context.Context) error {
	told := platformtransport.New(d.platform.URL(), "", time.Second)
	defer told.Close()
	for _, s := range d.document.Workers {
		w, err := upstream.New(s, d.clock)
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		w.Start()
		if err := told.Tell(ctx, platformprotocol.UpstreamRequest{Upstream: s.Upstream(w.Address())}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startHosts(ctx context.Context) error {
	for _, region := range d.document.Regions {
		for n := range d.document.HostsPerRegion {
			s := settings.Serve{
				Host:   id.Host(fmt.Sprintf("%s-%d", region, n+1)),
				Region: region, FailureDomain: id.FailureDomain(fmt.Sprintf("%s-%c", region, 'a'+n%2)),
				CallerListen: "127.0.0.1:0", HostListen: "127.0.0.1:0", Platform: d.platform.URL(),
				FleetSecret: d.secret, OperatorToken: d.token,
			}
			h, err := daemon.New(s, d.clock, d.log.With("host", s.Host))
			if err != nil {
				return err
			}
			if err := h.Start(ctx); err != nil {
				return err
			}
			d.hosts = append(d.hosts, h)
		}
	}
	return nil
}

// Operator returns an operator's client of one host.
func (d *Demo) Operator(n int) *operator.Client {
	return operator.NewClient(d.hosts[n].CallerAddress(), d.token)
}

func (d *Demo) configure(ctx context.Context) error {
	if err := d.await(ctx, "all hosts to be leased", d.allLeased); err != nil {
		return err
	}
	document := operatorprotocol.ConfigDocument{Config: d.document.Config}
	if _, err := operator.Send[operatorprotocol.ConfigDocument, operatorprotocol.ConfigApplied](
		ctx, d.Operator(0), http.MethodPut, operatorprotocol.ConfigPath, document); err != nil {
		return err
	}
	for _, account := range d.document.Config.Accounts {
		key := randomText()
		d.keys[account.ID] = key
		grant := operatorprotocol.KeyGrant{Account: account.ID, Key: key}
		if _, err := operator.Send[operatorprotocol.KeyGrant, operatorprotocol.KeyGranted](
			ctx, d.Operator(0), http.MethodPost, operatorprotocol.KeysPath, grant); err != nil {
			return err
		}
	}
	return nil
}

// ErrNotReady means that the deployment did not come up in time.
var ErrNotReady = errors.New("the deployment did not come up in time")

func (d *Demo) await(ctx context.Context, what string, ready func(context.Context) bool) error {
	for !ready(ctx) {
		if !d.clock.Sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("%w: waited for %s", ErrNotReady, what)
		}
	}
	return nil
}

func (d *Demo) allLeased(ctx context.Context) bool {
	for n := range d.hosts {
		list, err := operator.Get[operatorprotocol.HostList](ctx, d.Operator(n), operatorprotocol.HostsPath)
		if err != nil || !list.Leased || !list.Keyed || len(list.Hosts) != len(d.hosts) {
			return false
		}
	}
	return true
}

// awaitBudgets waits until every host knows the division of every budget and
// its bucket has had time to fill.
func (d *Demo) awaitBudgets(ctx context.Context) error {
	err := d.await(ctx, "all budgets to be divided", func(ctx context.Context) bool {
		for n := range d.hosts {
			list, err := operator.Get[operatorprotocol.BudgetList](ctx, d.Operator(n), operatorprotocol.BudgetsPath)
			if err != nil || len(list.Budgets) != len(d.document.Config.Accounts) {
				return false
			}
		}
		return true
	})
	d.clock.Sleep(ctx, time.Second)
	return err
}

// load sends requests for the time that the options give.
func (d *Demo) load(ctx context.Context, o Options, say func(string, ...any)) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var work sync.WaitGroup
	for _, p := range d.profiles() {
		c := caller.New(p, d.clock)
		d.callers = append(d.callers, c)
		work.Go(func() { c.Run(ctx) })
	}
	work.Go(func() { d.inject(ctx, o, say) })
	work.Go(func() { d.showProgress(ctx, say) })
	work.Wait()
}

// uploadBytes is the size of a demo's upload.
const uploadBytes = 256 << 10

func (d *Demo) profiles() []caller.Profile {
	var entries []string
	for _, h := range d.hosts {
		entries = append(entries, h.CallerAddress())
	}
	paths := map[caller.Kind]string{}
	for _, route := range d.document.Config.Routes {
		if _, known := paths[caller.Kind(route.Class)]; !known {
			paths[caller.Kind(route.Class)] = route.PathPrefix
		}
	}
	var out []caller.Profile
	for _, demand := range d.document.Demand {
		for n := range demand.Callers {
			out = append(out, caller.Profile{
				Name: fmt.Sprintf("%s-%d", demand.Account, n), Account: demand.Account, Key: d.keys[demand.Account],
				Region: d.document.Regions[n%len(d.document.Regions)], Entries: entries,
				Rate: demand.RatePerSecond / float64(demand.Callers), Paths: paths,
				UploadBytes: uploadBytes, OnceShare: 0.15, UploadShare: 0.03,
			})
		}
	}
	return out
}

// inject lets the fault of the options happen at a third of the time.
func (d *Demo) inject(ctx context.Context, o Options, say func(string, ...any)) {
	if o.Fault == FaultNone || o.Fault == "" || !d.clock.Sleep(ctx, o.Duration/3) {
		return
	}
	say("fault: %s", o.Fault)
	last := d.hosts[len(d.hosts)-1]
	switch o.Fault {
	case FaultKillHost:
		last.Kill()
	case FaultStopHost:
		last.Stop(context.WithoutCancel(ctx))
		say("the host has stopped gracefully")
	case FaultStoreUnavailable:
		d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeOut})
	case FaultStoreSilent:
		d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeSilent})
	}
	if o.Fault == FaultKillHost || o.Fault == FaultStopHost {
		d.hosts = d.hosts[:len(d.hosts)-1]
	}
}

// progressInterval is the time between two lines of progress.
const progressInterval = 2 * time.Second

func (d *Demo) showProgress(ctx context.Context, say func(string, ...any)) {
	for d.clock.Sleep(ctx, progressInterval) {
		var served, refused int
		for _, c := range d.callers {
			for _, r := range c.Records() {
				switch r.Result {
				case caller.Served:
					served++
				case caller.RefusedNotRun:
					refused++
				}
			}
		}
		say("served %d, refused and not run %d", served, refused)
	}
}

func (d *Demo) witness() witness {
	w := witness{accounts: d.document.Config.Accounts}
	for _, c := range d.callers {
		w.records = append(w.records, c.Records()...)
	}
	for _, worker := range d.workers {
		w.journal = append(w.journal, worker.Journal()...)
		w.received = append(w.received, worker.Received())
	}
	for _, key := range d.keys {
		w.keys = append(w.keys, key)
	}
	return w
}

// Close ends everything at once.
func (d *Demo) Close() {
	for _, h := range d.hosts {
		h.Kill()
	}
	for _, w := range d.workers {
		w.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}
