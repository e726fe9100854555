package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/daemon"
	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/pkg/state/clock"
)

// stopTime bounds a graceful stop.
const stopTime = 60 * time.Second

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "read the settings from `FILE`", Required: true}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host",
		Description: "Answers look-ups, forwards requests and works with the other hosts.\n" +
			"On SIGINT or SIGTERM it stops gracefully; a second signal ends it at once.\n\n" +
			"Example: celerypin serve --config examples/local/western-1.json",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Read[settings.Serve](c.String("config"))
			if err != nil {
				return err
			}
			return serve(ctx, c, s)
		},
	}
}

func serve(ctx context.Context, c *cli.Command, s settings.Serve) error {
	log := logging.New(c.Root().ErrWriter, s.Log.Level, s.Log.Format).With("host", s.Host)
	h, err := daemon.New(s, clock.System{}, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	if err := h.Start(ctx); err != nil {
		return err
	}
	waitForSignal(ctx, signals)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	h.Stop(stopping)
	return nil
}

func waitForSignal(ctx context.Context, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
	case <-signals:
	}
}
