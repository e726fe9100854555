// Package demo runs a deployment on loopback in one process: entry hosts of several
// regions, stand-ins for the platform and the upstreams, and callers.
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

// Document describes the deployment and the load of a demo.
type Document struct {
	Regions        []id.Region       `json:"regions" validate:"required,min=1"`
	HostsPerRegion int               `json:"hosts_per_region" validate:"gt=0,lte=12"`
	Workers        []settings.Worker `json:"workers" validate:"required,dive"`
	Config         config.Config     `json:"config"`
	// Demand is the load of each account.
	Demand []Demand `json:"demand" validate:"required,dive"`
}

// Demand is the load of one account, divided among its callers.
type Demand struct {
	Account       id.Account `json:"account" validate:"required"`
	RatePerSecond float64    `json:"rate_per_second" validate:"gt=0,lte=10000"`
	Callers       int        `json:"callers" validate:"gt=0,lte=100"`
}

// Default returns the embedded default document.
func Default() (Document, error) {
	return settings.Decode[Document]("default.json", defaultDocument)
}

// Fault is a fault that the demo injects while it sends requests.
type Fault string

// Faults of the demo.
const (
	FaultNone Fault = "none"
	// FaultKillHost stops a host at once, as a crash would.
	FaultKillHost Fault = "kill-host"
	// FaultStopHost stops a host gracefully.
	FaultStopHost Fault = "stop-host"
	// FaultStoreUnavailable makes the platform answer at once that it is unavailable.
	FaultStoreUnavailable Fault = "store-out"
	// FaultStoreSilent makes the platform accept requests without answering them.
	FaultStoreSilent Fault = "store-silent"
)

// Options are the options of one run.
type Options struct {
	Duration time.Duration
	Fault    Fault
	// Progress receives progress lines; Log receives the hosts' log lines.
	Progress io.Writer
	Log      *logging.Log
}

// Demo is a deployment in one process. Start starts it and Close stops it.
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

// startTimeout limits the start of the deployment.
const startTimeout = 20 * time.Second

// Run starts a deployment, sends load to it, stops it and returns the report.
func Run(ctx context.Context, document Document, o Options) (Report, error) {
	d := &Demo{document: document, clock: clock.System{}, log: o.Log, token: randomToken(), secret: randomToken(), keys: map[id.Account]string{}}
	defer d.Close()
	progress := func(format string, args ...any) { fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...) }
	progress("starting %d hosts, %d upstreams and a platform on loopback", len(document.Regions)*document.HostsPerRegion, len(document.Workers))
	if err := d.Start(ctx); err != nil {
		return Report{}, err
	}
	progress("all hosts have their leases; sending requests for %v", roundUpToSecond(o.Duration))
	d.sendLoad(ctx, o, progress)
	progress("done; comparing what callers and upstreams recorded")
	return d.collect().report(), nil
}

func randomToken() string {
	var data [16]byte
	_, _ = rand.Read(data[:])
	return hex.EncodeToString(data[:])
}

// Start starts the deployment and waits until it can serve all accounts.
func (d *Demo) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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
	client := platformtransport.New(d.platform.URL(), "", time.Second)
	defer client.Close()
	for _, s := range d.document.Workers {
		w, err := upstream.New(s, d.clock)
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		w.Start()
		if err := client.ReportUpstream(ctx, platformprotocol.UpstreamRequest{Upstream: s.Upstream(w.Address())}); err != nil {
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

// Operator returns a client of the operator interface of host n.
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
		key := randomToken()
		d.keys[account.ID] = key
		grant := operatorprotocol.KeyGrant{Account: account.ID, Key: key}
		if _, err := operator.Send[operatorprotocol.KeyGrant, operatorprotocol.KeyGranted](
			ctx, d.Operator(0), http.MethodPost, operatorprotocol.KeysPath, grant); err != nil {
			return err
		}
	}
	return nil
}

// ErrNotReady means that the deployment was not ready in time.
var ErrNotReady = errors.New("the deployment was not ready in time")

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
		if err != nil || !list.Leased || !list.ServesKeyed || len(list.Hosts) != len(d.hosts) {
			return false
		}
	}
	return true
}

// awaitBudgets waits until every host lists every budget, and then one second more so
// that the token buckets fill.
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

// sendLoad sends requests for o.Duration and injects the fault.
func (d *Demo) sendLoad(ctx context.Context, o Options, progress func(string, ...any)) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var work sync.WaitGroup
	for _, p := range d.profiles() {
		c := caller.New(p, d.clock)
		d.callers = append(d.callers, c)
		work.Go(func() { c.Run(ctx) })
	}
	work.Go(func() { d.injectFault(ctx, o, progress) })
	work.Go(func() { d.showProgress(ctx, progress) })
	work.Wait()
}

// uploadBytes is the size of an upload.
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
				Region: d.document.Regions[n%len(d.document.Regions)], LookupAddresses: entries,
				Rate: demand.RatePerSecond / float64(demand.Callers), Paths: paths,
				UploadBytes: uploadBytes, SwapFraction: 0.15, UploadFraction: 0.03,
			})
		}
	}
	return out
}

// injectFault injects the fault after a third of o.Duration.
func (d *Demo) injectFault(ctx context.Context, o Options, progress func(string, ...any)) {
	if o.Fault == FaultNone || o.Fault == "" || !d.clock.Sleep(ctx, o.Duration/3) {
		return
	}
	progress("fault: %s", o.Fault)
	last := d.hosts[len(d.hosts)-1]
	switch o.Fault {
	case FaultKillHost:
		last.Kill()
	case FaultStopHost:
		last.Stop(context.WithoutCancel(ctx))
		progress("the host has stopped gracefully")
	case FaultStoreUnavailable:
		d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeUnavailable})
	case FaultStoreSilent:
		d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeSilent})
	}
	if o.Fault == FaultKillHost || o.Fault == FaultStopHost {
		d.hosts = d.hosts[:len(d.hosts)-1]
	}
}

// progressInterval is the interval between progress lines.
const progressInterval = 2 * time.Second

func (d *Demo) showProgress(ctx context.Context, progress func(string, ...any)) {
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
		progress("served %d, refused and not run %d", served, refused)
	}
}

func (d *Demo) collect() observations {
	o := observations{accounts: d.document.Config.Accounts}
	for _, c := range d.callers {
		o.records = append(o.records, c.Records()...)
	}
	for _, worker := range d.workers {
		o.journal = append(o.journal, worker.Journal()...)
		o.received = append(o.received, worker.Received())
	}
	for _, key := range d.keys {
		o.keys = append(o.keys, key)
	}
	return o
}

// Close stops all parts of the deployment at once.
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
