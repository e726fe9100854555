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

// tellTimeout bounds the registration of a worker.
const tellTimeout = 2 * time.Second

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small stand-in of an outside system, for trials",
		Commands: []*cli.Command{
			{
				Name:  "platform",
				Usage: "run a table service, an object store and a list of upstreams",
				Description: "PUT /knobs turns its faults while it runs.\n\n" +
					"Example: celerypin standin platform --config examples/local/platform.json",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runStandinPlatform,
			},
			{
				Name:  "upstream",
				Usage: "run upstream workers with slots, cold start, shedding and drain",
				Description: "PUT /knobs on a worker's address turns its faults; GET /journal shows what it ran.\n\n" +
					"Example: celerypin standin upstream --config examples/local/upstreams.json",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runStandinUpstream,
			},
		},
	}
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
	told := client.New(s.Platform, "", tellTimeout)
	defer told.Close()
	for _, w := range workers {
		w.Start()
		if err := tell(ctx, told, w, fleet.UpstreamLive, false); err != nil {
			return err
		}
		log.With("worker", w.Settings().ID).With("address", w.Address()).Info("Serving.")
	}
	<-ctx.Done()
	return drainWorkers(context.WithoutCancel(ctx), told, workers)
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

func tell(ctx context.Context, told *client.Client, w *upstream.Worker, state fleet.UpstreamState, ended bool) error {
	info := w.Settings().Upstream(w.Address())
	info.State = state
	return told.ReportUpstream(ctx, protocol.UpstreamRequest{Upstream: info, Ended: ended})
}

// drainTime is how long leaving workers still finish what they run.
const drainTime = 5 * time.Second

func drainWorkers(ctx context.Context, told *client.Client, workers []*upstream.Worker) error {
	var errs []error
	for _, w := range workers {
		w.SetKnobs(upstream.Knobs{Draining: true})
		errs = append(errs, tell(ctx, told, w, fleet.UpstreamLeaving, false))
	}
	clock.System{}.Sleep(ctx, drainTime)
	for _, w := range workers {
		errs = append(errs, tell(ctx, told, w, fleet.UpstreamLeaving, true))
	}
	return errors.Join(errs...)
}
