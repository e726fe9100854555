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

// operatorFlags are the flags of all commands that talk to a host.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "host", Usage: "ask the host at `ADDRESS`", Value: "127.0.0.1:8101", Sources: cli.EnvVars("CELERYPIN_HOST")},
		&cli.StringFlag{Name: "token", Usage: "the operator's `TOKEN`", Sources: cli.EnvVars("CELERYPIN_TOKEN")},
		outputFlag(),
	}, more...)
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Usage: "print a `FORMAT`: table or json", Value: "table",
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
		return fmt.Errorf("%w: want one of %s, got %q", ErrUsage, strings.Join(allowed, ", "), value)
	}
}

func clientOf(c *cli.Command) *operator.Client {
	return operator.NewClient(c.String("host"), c.String("token"))
}

// operatorStatus gives the errors of the operator's client their exit statuses.
func operatorStatus(err error) error {
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

// print writes v in JSON, or the rows that table returns; the first is the head.
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

// onlyArgument returns the command's single argument.
func onlyArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fmt.Errorf("%w: want one %s, got %d", ErrUsage, name, c.Args().Len())
	}
	return c.Args().First(), nil
}
