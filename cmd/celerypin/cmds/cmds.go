// Package cmds holds the commands of celerypin.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/protocol/settings"
)

// Exit statuses.
const (
	ExitOK = 0
	// ExitFailed means that the command could not do what it was asked for.
	ExitFailed = 1
	// ExitUsage means that arguments or settings are wrong; nothing was started or changed.
	ExitUsage = 2
	// ExitBroken means that a promise was broken during a demo or a load.
	ExitBroken = 3
	// ExitConflict means that another operator was faster; nothing was changed.
	ExitConflict = 4
	// ExitPartial means that a change is accepted, but not in force on all hosts yet.
	ExitPartial = 5
)

// ErrUsage is the sentinel of errors in arguments.
var ErrUsage = errors.New("wrong arguments")

// exitError carries the exit status of an error.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(status int, err error) error { return &exitError{status, err} }

// Run runs the command that args name and returns its exit status.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := newApp(out, errOut)
	err := app.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	printError(errOut, err)
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		return exit.status
	case errors.Is(err, settings.ErrInvalid), errors.Is(err, ErrUsage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

func newApp(out, errOut io.Writer) *cli.Command {
	app := &cli.Command{
		Name:                  "celerypin",
		Usage:                 "steer callers to healthy upstreams within the operator's targets",
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), standinCommand(), demoCommand(),
			lookupCommand(), configCommand(), keyCommand(), hostsCommand(), versionCommand(), shiftCommand(), timelineCommand(), explainCommand(), experimentCommand(),
		},
	}
	markUsageErrors(app)
	return app
}

// markUsageErrors makes wrong flags and commands match ErrUsage, in all commands.
func markUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if len(c.Commands) > 0 && c.Action == nil {
		c.Action = needCommand
	}
	for _, sub := range c.Commands {
		markUsageErrors(sub)
	}
}

// needCommand is the action of a command that only has others below it.
func needCommand(_ context.Context, c *cli.Command) error {
	var known []string
	for _, sub := range c.VisibleCommands() {
		known = append(known, sub.Name)
	}
	got := "none"
	if c.Args().Present() {
		got = strconv.Quote(c.Args().First())
	}
	return fmt.Errorf("%w: want a command of %s, got %s", ErrUsage, strings.Join(known, ", "), got)
}

// printError prints one line for each fault, with a hint if there is one.
func printError(w io.Writer, err error) {
	for _, fault := range settings.Faults(err) {
		fmt.Fprintln(w, "celerypin: "+fault.Error())
		var detailed oops.OopsError
		if errors.As(fault, &detailed) && detailed.Hint() != "" {
			fmt.Fprintln(w, "celerypin: hint: "+detailed.Hint())
		}
	}
}
