package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	protocol "celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, compare, apply and show the configuration",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "validate a configuration file without contacting a host", ArgsUsage: "FILE", Action: configCheck,
				Description: "Example: celerypin config check examples/local/config.json",
			},
			{
				Name: "diff", Usage: "compare a configuration file with the configuration in force", ArgsUsage: "FILE",
				Flags: operatorFlags(), Action: configDiff,
			},
			{
				Name: "apply", Usage: "put a configuration file in force", ArgsUsage: "FILE", Action: configApply,
				Description: "The change is based on the revision given by --from, or on the one in force when the command starts.\n" +
					"Exit status 4: another operator's change came first. Exit status 5: accepted, but not yet in force on all hosts.",
				Flags: operatorFlags(&cli.Uint64Flag{Name: "from", Usage: "base the change on `REVISION`"}),
			},
			{Name: "status", Usage: "show the revision in force on each host", Flags: operatorFlags(), Action: configStatus},
			{
				Name: "history", Usage: "list current and previous configurations, latest first", Action: configHistory,
				Flags: operatorFlags(&cli.Uint64Flag{Name: "revision", Usage: "print only the configuration of `REVISION`"}),
				Description: "To revert a change, print a previous configuration with --revision and apply it.\n\n" +
					"Example: celerypin config history --revision 6 > back.json && celerypin config apply back.json",
			},
			{Name: "show", Usage: "print the configuration in force", Flags: operatorFlags(), Action: configShow},
		},
	}
}

func readConfig(c *cli.Command) (config.Config, error) {
	file, err := singleArgument(c, "FILE")
	if err != nil {
		return config.Config{}, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return config.Config{}, fmt.Errorf("%w: %w", settings.ErrInvalid, err)
	}
	return settings.DecodeConfig(file, data)
}

func configCheck(_ context.Context, c *cli.Command) error {
	cfg, err := readConfig(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "valid: %d accounts, %d classes, %d routes, %d client blocks\n",
		len(cfg.Accounts), len(cfg.Classes), len(cfg.Routes), len(cfg.ClientBlocks))
	return err
}

func currentConfig(ctx context.Context, c *cli.Command) (protocol.ConfigDocument, error) {
	return operator.Get[protocol.ConfigDocument](ctx, clientOf(c), protocol.ConfigPath)
}

func configDiff(ctx context.Context, c *cli.Command) error {
	next, err := readConfig(c)
	if err != nil {
		return err
	}
	current, err := currentConfig(ctx, c)
	if err != nil {
		return err
	}
	lines := diffLines(indentedLines(current.Config), indentedLines(next))
	_, err = fmt.Fprintf(c.Root().Writer, "from revision %d:\n%s\n", current.Revision, strings.Join(lines, "\n"))
	return err
}

func indentedLines(cfg config.Config) []string {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil
	}
	return strings.Split(string(data), "\n")
}

// diffLines returns the lines found only in a, marked with -, and only in b, marked
// with +, by their longest common subsequence.
func diffLines(a, b []string) []string {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
				continue
			}
			common[i][j] = max(common[i+1][j], common[i][j+1])
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

func configApply(ctx context.Context, c *cli.Command) error {
	next, err := readConfig(c)
	if err != nil {
		return err
	}
	base := table.Revision(c.Uint64("from"))
	if !c.IsSet("from") {
		current, err := currentConfig(ctx, c)
		if err != nil {
			return err
		}
		base = current.Revision
	}
	document := protocol.ConfigDocument{Revision: base, Config: next}
	applied, err := operator.Send[protocol.ConfigDocument, protocol.ConfigApplied](ctx, clientOf(c), http.MethodPut, protocol.ConfigPath, document)
	if err != nil {
		return withConflictStatus(err)
	}
	err = printerOf(c).print(applied, func() [][]string {
		return [][]string{
			{"REVISION", "IN FORCE ON", "NOT YET ON"},
			{fmt.Sprint(applied.Revision), joinHosts(applied.InForce), joinHosts(applied.Missing)},
		}
	})
	return partialError(err, len(applied.Missing) > 0)
}

// partialError returns an error with the status ExitPartial if a change was accepted
// only in part: it is not yet in force on all hosts, or not yet recorded. An err that
// is not nil takes precedence.
func partialError(err error, partial bool) error {
	if err != nil || !partial {
		return err
	}
	return exitWith(ExitPartial, fmt.Errorf("accepted, but not yet in force on all hosts or not yet recorded"))
}

func joinHosts(hosts []id.Host) string {
	if len(hosts) == 0 {
		return "-"
	}
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = string(h)
	}
	return strings.Join(out, ",")
}

func configStatus(ctx context.Context, c *cli.Command) error {
	list, err := operator.Get[protocol.HostList](ctx, clientOf(c), protocol.HostsPath)
	if err != nil {
		return err
	}
	return printerOf(c).print(list, func() [][]string {
		rows := [][]string{{"HOST", "STATE", "ALIVE", "CONFIG REVISION"}}
		for _, h := range list.Hosts {
			rows = append(rows, []string{string(h.Host), string(h.State), fmt.Sprint(h.Alive), fmt.Sprint(h.Config)})
		}
		return rows
	})
}

// ErrRevisionNotFound means that the history does not hold a revision.
var ErrRevisionNotFound = errors.New("configuration revision not found in the history")

func configHistory(ctx context.Context, c *cli.Command) error {
	history, err := operator.Get[protocol.History](ctx, clientOf(c), protocol.HistoryPath)
	if err != nil {
		return err
	}
	if c.IsSet("revision") {
		return printRevision(c, history, table.Revision(c.Uint64("revision")))
	}
	return printerOf(c).print(history, func() [][]string {
		rows := [][]string{{"REVISION", "ACCOUNTS", "CLASSES", "ROUTES", "CLIENT BLOCKS"}}
		for _, e := range history.Entries {
			rows = append(rows, []string{
				fmt.Sprint(e.Revision), fmt.Sprint(len(e.Config.Accounts)), fmt.Sprint(len(e.Config.Classes)),
				fmt.Sprint(len(e.Config.Routes)), fmt.Sprint(len(e.Config.ClientBlocks)),
			})
		}
		return rows
	})
}

func printRevision(c *cli.Command, history protocol.History, revision table.Revision) error {
	for _, e := range history.Entries {
		if e.Revision == revision {
			return printer{json: true, out: c.Root().Writer}.print(e.Config, nil)
		}
	}
	return fmt.Errorf("%w: %d", ErrRevisionNotFound, revision)
}

func configShow(ctx context.Context, c *cli.Command) error {
	current, err := currentConfig(ctx, c)
	if err != nil {
		return err
	}
	return printer{json: true, out: c.Root().Writer}.print(current, nil)
}
