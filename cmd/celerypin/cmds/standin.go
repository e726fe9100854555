package cmds

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/logging"
	protocol "celerypin.example/celerypin/internal/protocol/platform"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/standin/platform"
	"celerypin.example/celerypin/internal/standin/upstream"
	client "celerypin.example/celerypin/internal/transport/platform"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
)

// reportTimeout limits one report of a worker's state to the platform.
const reportTimeout = 2 * time.Second

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small stand-in for an external system, for tests",
		Commands: []*cli.Command{
			{
				Name:  "platform",
				Usage: "run a table service, an object store and a list of upstreams",
				Description: "PUT /knobs sets its faults at run time.\n\n" +
					"Example: celerypin standin platform --config examples/local/platform.json",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runStandinPlatform,
			},
			{
				Name:  "upstream",
				Usage: "run upstream workers with slots, cold start, shedding and drain",
				Description: "PUT /knobs on a worker's address sets its faults; GET /journal lists the requests that it ran.\n\n" +
					"Example: celerypin standin upstream --config examples/local/upstreams.json",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runStandinUpstream,
			},
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "read settings from `FILE`", Required: true}
}

func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

func runStandinPlatform(ctx context.Context, c *cli.Command) error {
	s, err := settings.Read[settings.StandinPlatform](c.String("config"))
	if err != nil {
		return err
	}
	log := logging.New(c.Root().ErrWriter, s.Log.Level, s.Log.Format).Part("standin platform")
	server, err := platform.New(s.Listen, protocol.Knobs{DelayMS: s.DelayMS, ListLagMS: s.ListLagMS, HostDelayMS: s.HostDelayMS}, clock.System{})
	if err != nil {
		return err
	}
	server.Start()
	defer server.Close()
	log.With("url", server.URL()).Info("Serving.")
	ctx, cancel := signalContext(ctx)
	defer cancel()
	<-ctx.Done()
	return nil
}

func runStandinUpstream(ctx context.Context, c *cli.Command) error {
	s, err := settings.Read[settings.StandinUpstream](c.String("config"))
	if err != nil {
		return err
	}
	log := logging.New(c.Root().ErrWriter, s.Log.Level, s.Log.Format).Part("standin upstream")
	workers, err := openWorkers(s)
	if err != nil {
		return err
	}
	defer closeWorkers(workers)
	ctx, cancel := signalContext(ctx)
	defer cancel()
	platformClient := client.New(s.Platform, "", reportTimeout)
	defer platformClient.Close()
	for _, w := range workers {
		w.Start()
		if err := reportState(ctx, platformClient, w, fleet.UpstreamLive, false); err != nil {
			return err
		}
		log.With("worker", w.Settings().ID).With("address", w.Address()).Info("Serving.")
	}
	<-ctx.Done()
	return drainWorkers(context.WithoutCancel(ctx), platformClient, workers)
}

func openWorkers(s settings.StandinUpstream) ([]*upstream.Worker, error) {
	var workers []*upstream.Worker
	for _, w := range s.Workers {
		worker, err := upstream.New(w, clock.System{})
		if err != nil {
			closeWorkers(workers)
			return nil, err
		}
		workers = append(workers, worker)
	}
	return workers, nil
}

func closeWorkers(workers []*upstream.Worker) {
	for _, w := range workers {
		w.Close()
	}
}

func reportState(ctx context.Context, platformClient *client.Client, w *upstream.Worker, state fleet.UpstreamState, ended bool) error {
	info := w.Settings().Upstream(w.Address())
	info.State = state
	return platformClient.ReportUpstream(ctx, protocol.UpstreamRequest{Upstream: info, Ended: ended})
}

// drainDelay is the time that leaving workers have to finish running requests.
const drainDelay = 5 * time.Second

func drainWorkers(ctx context.Context, platformClient *client.Client, workers []*upstream.Worker) error {
	var errs []error
	for _, w := range workers {
		w.SetKnobs(upstream.Knobs{Draining: true})
		errs = append(errs, reportState(ctx, platformClient, w, fleet.UpstreamDraining, false))
	}
	clock.System{}.Sleep(ctx, drainDelay)
	for _, w := range workers {
		errs = append(errs, reportState(ctx, platformClient, w, fleet.UpstreamDraining, true))
	}
	return errors.Join(errs...)
}
