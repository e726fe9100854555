package cmds

import (
	"bytes"
	"context"
	"fmt"
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
	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/platform"
)

// stopTimeout limits a graceful stop.
const stopTimeout = 60 * time.Second

const (
	metricsPortFlag   = "metrics-port"
	hedgeFractionFlag = "hedge-fraction"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host",
		Description: "Answers look-ups, forwards requests to upstreams and coordinates with the other hosts.\n" +
			"Without --config, runs on the platform with the settings file named by the\n" +
			"environment variable " + platform.SettingsVariable + "; SIGHUP reloads that file.\n" +
			"SIGINT or SIGTERM stops the host gracefully; a second signal stops it at once.\n\n" +
			"Example: celerypin serve --config examples/local/western-1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "read settings from `FILE` instead of the platform's settings file"},
			&cli.IntFlag{Name: metricsPortFlag, Usage: "serve metrics on `PORT` of the host's address; 0 selects the second port for traffic between hosts"},
			&cli.FloatFlag{
				Name: hedgeFractionFlag, Usage: "send a second copy of slow requests, for at most `F` of the requests of a service: 0.001 to 0.1; 0 sends none",
				Validator: func(f float64) error { return hedge.Fraction(f).Validate() },
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if !c.IsSet("config") {
				return serveOnPlatform(ctx, c)
			}
			if c.Float(hedgeFractionFlag) != 0 {
				return exitWith(ExitUsage, fmt.Errorf("%w: --%s: has no effect with --config; such hosts send no second copies", ErrUsage, hedgeFractionFlag))
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
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	h.Stop(stopCtx)
	return nil
}

func waitForSignal(ctx context.Context, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
	case <-signals:
	}
}

const (
	// memoryFraction of a process's memory is the soft memory limit of the Go
	// runtime; the rest is for sockets and stacks.
	memoryFraction = 0.6
	mebibyte       = 1 << 20
	// reloadInterval is the interval between checks of the settings file, which may
	// change without a signal.
	reloadInterval = 3 * time.Second
	// logFlushTimeout limits the wait for the last log lines when the process ends.
	logFlushTimeout = 200 * time.Millisecond
)

// serveOnPlatform runs an entry host with the settings file that the platform wrote.
func serveOnPlatform(ctx context.Context, c *cli.Command) error {
	// A closed connection or log pipe must not end the process.
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
	logWriter := logging.NewAsyncWriter(c.Root().Writer)
	defer func() { logWriter.Close(time.After(logFlushTimeout)) }()
	log := logging.New(io.Writer(logWriter), "info", "json").With("host", s.Host)
	host := edge.New(s, clock.System{}, log, edge.WithHedging(hedge.Fraction(c.Float(hedgeFractionFlag))))
	if err := host.Start(ctx); err != nil {
		return err
	}
	return runUntilStopped(ctx, host, signals, path, log.Part("host"))
}

func limitRuntime(s platform.Settings) {
	runtime.GOMAXPROCS(s.Cores)
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMiB) * memoryFraction * mebibyte))
	}
}

// runUntilStopped reloads changed settings on SIGHUP and every reloadInterval, and
// stops on any other signal.
func runUntilStopped(ctx context.Context, host *edge.Host, signals <-chan os.Signal, path string, log *logging.Log) error {
	file := &settingsFile{path: path, log: log}
	// The first call remembers the settings at the start, which are in force already.
	file.readChanged()
	for {
		select {
		case <-ctx.Done():
			host.Stop()
			return nil
		case <-host.Done():
			// Clients' requests do not need the part that failed, so they are finished.
			err := host.Err()
			log.With("error", err.Error()).Error("A part of the host failed; stopping.")
			host.Stop()
			return err
		case <-time.After(reloadInterval):
			if next, ok := file.readChanged(); ok {
				host.Reload(next)
			}
		case s := <-signals:
			if s != syscall.SIGHUP {
				host.Stop()
				return nil
			}
			log.Info("Received SIGHUP.")
			if next, ok := file.readChanged(); ok {
				host.Reload(next)
			}
		}
	}
}

// settingsFile detects changes of the settings file.
type settingsFile struct {
	path string
	log  *logging.Log
	last []byte
}

// readChanged returns the settings if they have changed since the last call and are
// valid. It reports invalid settings once, until the file changes again.
func (f *settingsFile) readChanged() (platform.Settings, bool) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		f.log.With("error", err.Error()).Error("The settings file cannot be read; the current settings stay in force.")
		return platform.Settings{}, false
	}
	if bytes.Equal(data, f.last) {
		return platform.Settings{}, false
	}
	f.last = data
	next, err := platform.ParseSettings(data)
	if err != nil {
		f.log.With("error", err.Error()).Error("The changed settings are invalid; the current ones stay in force.")
		return platform.Settings{}, false
	}
	return next, true
}
