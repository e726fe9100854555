// Package cmds implements the commands of celerypin.
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
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means invalid arguments or settings; nothing was started or changed.
	ExitUsage = 2
	// ExitPromiseBroken means that a promise was broken during a demo.
	ExitPromiseBroken = 3
	// ExitConflict means that another operator's change came first; nothing was changed.
	ExitConflict = 4
	// ExitPartial means that a change was accepted, but is not yet in force on all hosts.
	ExitPartial = 5
)

// ErrUsage is matched by all errors of invalid arguments.
var ErrUsage = errors.New("invalid arguments")

// exitError is an error with the exit status that it causes.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(status int, err error) error { return &exitError{status, err} }

// Run runs the command given by args and returns its exit status.
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
			lookupCommand(), configCommand(), keyCommand(), hostsCommand(), versionCommand(), shiftCommand(), timelineCommand(), explainCommand(), experimentCommand(), whereCommand(),
		},
	}
	wrapUsageErrors(app)
	return app
}

// wrapUsageErrors makes errors in flags and command names match ErrUsage, in c and
// all commands below it.
func wrapUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if len(c.Commands) > 0 && c.Action == nil {
		c.Action = requireSubcommand
	}
	for _, sub := range c.Commands {
		wrapUsageErrors(sub)
	}
}

// requireSubcommand is the action of a command that does nothing without a
// subcommand.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	var subcommands []string
	for _, sub := range c.VisibleCommands() {
		subcommands = append(subcommands, sub.Name)
	}
	got := "none"
	if c.Args().Present() {
		got = strconv.Quote(c.Args().First())
	}
	return fmt.Errorf("%w: expected a command (%s), got %s", ErrUsage, strings.Join(subcommands, ", "), got)
}

// printError prints a line for each error that err joins, followed by its hint if it
// has one.
func printError(w io.Writer, err error) {
	for _, cause := range settings.Errors(err) {
		fmt.Fprintln(w, "celerypin: "+cause.Error())
		var detailed oops.OopsError
		if errors.As(cause, &detailed) && detailed.Hint() != "" {
			fmt.Fprintln(w, "celerypin: hint: "+detailed.Hint())
		}
	}
}
