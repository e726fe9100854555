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

// maxDemoDuration is the maximum of --for.
const maxDemoDuration = 30 * time.Minute

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small deployment on loopback in one process and report what callers and upstreams observed",
		Description: "Needs no settings and stops by itself. Exit status 3: a promise was broken.\n\n" +
			"Example: celerypin demo --for 20s --fault kill-host --report json",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "send requests for `DURATION`", Value: 10 * time.Second, Validator: validateDemoDuration},
			&cli.StringFlag{
				Name: "fault", Usage: "inject `FAULT`: none, kill-host, stop-host, store-out or store-silent", Value: string(demo.FaultNone),
				Validator: oneOf(string(demo.FaultNone), string(demo.FaultKillHost), string(demo.FaultStopHost), string(demo.FaultStoreUnavailable), string(demo.FaultStoreSilent)),
			},
			&cli.StringFlag{Name: "report", Usage: "print the report in `FORMAT`: text or json", Value: "text", Validator: oneOf("text", "json")},
			&cli.StringFlag{Name: "log-level", Usage: "log messages of the hosts at `LEVEL` and above: debug, info, warn or error", Value: "error", Validator: oneOf("debug", "info", "warn", "error")},
		},
		Action: runDemo,
	}
}

func validateDemoDuration(d time.Duration) error {
	if d <= 0 || d > maxDemoDuration {
		return fmt.Errorf("%w: --for: must be more than 0s and at most %v, got %v", ErrUsage, maxDemoDuration, d)
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
	if violations := report.Violations(); err == nil && len(violations) > 0 {
		return exitWith(ExitPromiseBroken, fmt.Errorf("promises broken: %s", strings.Join(violations, ", ")))
	}
	return err
}
