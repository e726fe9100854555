package cmds

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/daemon"
	"celerypin.example/celerypin/internal/edge"
	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/platform"
)

// stopTime bounds a graceful stop.
const stopTime = 60 * time.Second

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "read the settings from `FILE`", Required: true}
}

const metricsPortFlag = "metrics-port"

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host",
		Description: "Answers look-ups, forwards requests and works with the other hosts.\n" +
			"Without --config it runs on the users' platform, by the settings file that\n" +
			"the variable " + platform.SettingsVariable + " names; SIGHUP reads that file again.\n" +
			"On SIGINT or SIGTERM it stops gracefully; a second signal ends it at once.\n\n" +
			"Example: celerypin serve --config examples/local/western-1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "read the project's own settings from `FILE`"},
			&cli.IntFlag{Name: metricsPortFlag, Usage: "serve metrics at `PORT` of the host's address; without it at the second of the ports between hosts"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if !c.IsSet("config") {
				return serveOnPlatform(ctx, c)
			}
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

const (
	// memoryPart is the part of a process's memory that the Go runtime may take
	// before it collects harder; the rest is for sockets and stacks.
	memoryPart = 0.6
	mebibyte   = 1 << 20
	// reloadInterval is how often the settings file is looked at; it may change
	// without a signal.
	reloadInterval = 3 * time.Second
	// logPatience is how long the last lines may take to be written.
	logPatience = 200 * time.Millisecond
)

// serveOnPlatform runs an entry host by the settings that the platform wrote.
func serveOnPlatform(ctx context.Context, c *cli.Command) error {
	// A client or log reader that has gone must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	if port := c.Int(metricsPortFlag); port != 0 {
		s.MetricsAddress = net.JoinHostPort(s.IP, strconv.Itoa(port))
	}
	limitRuntime(s)
	ring := logging.NewAsyncWriter(c.Root().Writer)
	defer func() { ring.Close(time.After(logPatience)) }()
	log := logging.New(io.Writer(ring), "info", "json").With("host", s.Host)
	e := edge.New(s, clock.System{}, log)
	if err := e.Start(ctx); err != nil {
		return err
	}
	return runUntilStopped(ctx, e, signals, path, log.Part("host"))
}

func limitRuntime(s platform.Settings) {
	runtime.GOMAXPROCS(s.Cores)
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMiB) * memoryPart * mebibyte))
	}
}

// runUntilStopped reloads changed settings, at SIGHUP and at intervals, and
// stops at the other signals.
func runUntilStopped(ctx context.Context, e *edge.Edge, signals <-chan os.Signal, path string, log *logging.Log) error {
	file := &settingsFile{path: path, log: log}
	file.changed()
	for {
		select {
		case <-ctx.Done():
			e.Stop()
			return nil
		case <-e.Done():
			log.With("error", e.Err()).Error("A part has failed.")
			return e.Err()
		case <-time.After(reloadInterval):
			if next, ok := file.changed(); ok {
				e.Reload(next)
			}
		case s := <-signals:
			if s != syscall.SIGHUP {
				e.Stop()
				return nil
			}
			log.Info("Got SIGHUP.")
			if next, ok := file.changed(); ok {
				e.Reload(next)
			}
		}
	}
}

// settingsFile notices changes of the settings.
type settingsFile struct {
	path string
	log  *logging.Log
	last []byte
}

// changed returns the settings if they have changed since the last call and are usable.
func (f *settingsFile) changed() (platform.Settings, bool) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		f.log.With("error", err.Error()).Error("The settings file cannot be read; the last settings stay in force.")
		return platform.Settings{}, false
	}
	if bytes.Equal(data, f.last) {
		return platform.Settings{}, false
	}
	f.last = data
	next, err := platform.ParseSettings(data)
	if err != nil {
		f.log.With("error", err.Error()).Error("The changed settings are not usable; the last ones stay in force.")
		return platform.Settings{}, false
	}
	return next, true
}
