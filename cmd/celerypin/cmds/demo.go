package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/demo"
	"celerypin.example/celerypin/internal/logging"
)

// longestDemo bounds the time of a demo.
const longestDemo = 30 * time.Minute

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the main job on loopback in one process, and report what callers and upstreams saw",
		Description: "Needs no settings, and stops by itself. Exit status 3: a promise did not hold.\n\n" +
			"Example: celerypin demo --for 20s --fault kill-host --report json",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "send requests for `DURATION`", Value: 10 * time.Second, Validator: demoDuration},
			&cli.StringFlag{
				Name: "fault", Usage: "let a `FAULT` happen: none, kill-host, stop-host, store-out or store-silent", Value: string(demo.FaultNone),
				Validator: oneOf(string(demo.FaultNone), string(demo.FaultKillHost), string(demo.FaultStopHost), string(demo.FaultStoreUnavailable), string(demo.FaultStoreSilent)),
			},
			&cli.StringFlag{Name: "report", Usage: "print the report as `FORMAT`: text or json", Value: "text", Validator: oneOf("text", "json")},
			&cli.StringFlag{Name: "log-level", Usage: "log the hosts' messages from `LEVEL`: debug, info, warn or error", Value: "error", Validator: oneOf("debug", "info", "warn", "error")},
		},
		Action: runDemo,
	}
}

func demoDuration(d time.Duration) error {
	if d <= 0 || d > longestDemo {
		return fmt.Errorf("%w: --for: want more than 0s and at most %v, got %v", ErrUsage, longestDemo, d)
	}
	return nil
}

func runDemo(ctx context.Context, c *cli.Command) error {
	ctx, cancel := signalContext(ctx)
	defer cancel()
	document, err := demo.Default()
	if err != nil {
		return err
	}
	report, err := demo.Run(ctx, document, demo.Options{
		Duration: c.Duration("for"), Fault: demo.Fault(c.String("fault")), Progress: c.Root().ErrWriter,
		Log: logging.New(c.Root().ErrWriter, c.String("log-level"), ""),
	})
	if err != nil {
		return err
	}
	if c.String("report") == "json" {
		err = json.NewEncoder(c.Root().Writer).Encode(report)
	} else {
		err = report.WriteText(c.Root().Writer)
	}
	if broken := report.Violations(); err == nil && len(broken) > 0 {
		return exitWith(ExitBroken, fmt.Errorf("promises did not hold: %s", strings.Join(broken, ", ")))
	}
	return err
}
