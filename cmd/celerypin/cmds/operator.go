package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/transport/operator"
)

// operatorFlags returns the flags of commands that use the operator interface of a
// host, followed by extra.
func operatorFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "host", Usage: "connect to the host at `ADDRESS` (HOST:PORT)", Value: "127.0.0.1:8101", Sources: cli.EnvVars("CELERYPIN_HOST")},
		&cli.StringFlag{Name: "token", Usage: "authenticate with the operator's `TOKEN`", Sources: cli.EnvVars("CELERYPIN_TOKEN")},
		outputFlag(),
	}, extra...)
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Usage: "print the result in `FORMAT`: table or json", Value: "table",
		Validator: oneOf("table", "json"),
	}
}

func oneOf(allowed ...string) func(string) error {
	return func(value string) error {
		for _, a := range allowed {
			if value == a {
				return nil
			}
		}
		return fmt.Errorf("%w: must be one of %s, got %q", ErrUsage, strings.Join(allowed, ", "), value)
	}
}

func clientOf(c *cli.Command) *operator.Client {
	return operator.NewClient(c.String("host"), c.String("token"))
}

// withConflictStatus adds the exit status ExitConflict to an error that matches
// operator.ErrConflict.
func withConflictStatus(err error) error {
	if errors.Is(err, operator.ErrConflict) {
		return exitWith(ExitConflict, err)
	}
	return err
}

// printer prints a result as a table or in JSON.
type printer struct {
	json bool
	out  io.Writer
}

func printerOf(c *cli.Command) printer {
	return printer{json: c.String("output") == "json", out: c.Root().Writer}
}

// print writes v as JSON, or the rows that table returns, of which the first is the
// header.
func (p printer) print(v any, table func() [][]string) error {
	if p.json {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, row := range table() {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// singleArgument returns the only argument of the command; name is its metavariable.
func singleArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fmt.Errorf("%w: expected one %s argument, got %d", ErrUsage, name, c.Args().Len())
	}
	return c.Args().First(), nil
}
