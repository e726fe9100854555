package cmds

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	protocol "celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "show the entry hosts and how budgets are divided among them",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the hosts as one of them sees them", Flags: operatorFlags(), Action: hostsList},
			{Name: "budgets", Usage: "show the division of each account's rate and burst", Flags: operatorFlags(), Action: hostsBudgets},
			{
				Name: "attest", Usage: "declare that an incarnation of a host has ended", Action: hostsAttest,
				Description: "While the platform gives no answer, hosts serve keyed requests only if they hear all other hosts,\n" +
					"because one that they do not hear may have taken a withdrawal. Your word that a host has ended lets them go on.",
				Flags: operatorFlags(
					&cli.StringFlag{Name: "name", Usage: "the `HOST` that has ended", Required: true},
					&cli.Uint64Flag{Name: "incarnation", Usage: "its `INCARNATION`, as list shows it", Required: true},
				),
			},
		},
	}
}

func hostsList(ctx context.Context, c *cli.Command) error {
	list, err := operator.Get[protocol.HostList](ctx, clientOf(c), protocol.HostsPath)
	if err != nil {
		return err
	}
	return printerOf(c).print(list, func() [][]string {
		rows := [][]string{{"HOST", "REGION", "FAILURE DOMAIN", "ADDRESS", "STATE", "ALIVE", "HEARD MS AGO", "REVISION"}}
		for _, h := range list.Hosts {
			rows = append(rows, []string{
				string(h.Host), string(h.Region), string(h.FailureDomain), h.Address, string(h.State),
				fmt.Sprint(h.Alive), fmt.Sprint(h.ContactAgeMS), fmt.Sprint(h.Complete),
			})
		}
		return rows
	})
}

func hostsBudgets(ctx context.Context, c *cli.Command) error {
	list, err := operator.Get[protocol.BudgetList](ctx, clientOf(c), protocol.BudgetsPath)
	if err != nil {
		return err
	}
	return printerOf(c).print(list, func() [][]string {
		rows := [][]string{{"ACCOUNT", "HOST", "RATE/S", "BURST", "HELD RATE/S", "HELD BURST"}}
		for _, b := range list.Budgets {
			for _, g := range b.Budget.Grants {
				rows = append(rows, []string{
					string(b.Budget.Account), string(g.Host),
					requests(g.Share.Rate), requests(g.Share.Burst), requests(g.Held.Rate), requests(g.Held.Burst),
				})
			}
		}
		return rows
	})
}

func requests(t unit.Tokens) string { return fmt.Sprintf("%.2f", float64(t)/float64(unit.Token)) }

func hostsAttest(ctx context.Context, c *cli.Command) error {
	request := protocol.HostAttest{Host: id.Host(c.String("name")), Incarnation: id.Incarnation(c.Uint64("incarnation"))}
	answer, err := operator.Send[protocol.HostAttest, protocol.HostAttest](ctx, clientOf(c), http.MethodPost, protocol.AttestPath, request)
	if err != nil {
		return err
	}
	return printerOf(c).print(answer, func() [][]string {
		return [][]string{{"HOST", "INCARNATION"}, {string(answer.Host), answer.Incarnation.String()}}
	})
}

func lookupCommand() *cli.Command {
	return &cli.Command{
		Name:  "lookup",
		Usage: "ask a host which hosts a caller should use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "ask the host at `ADDRESS`", Value: "127.0.0.1:8101", Sources: cli.EnvVars("CELERYPIN_HOST")},
			&cli.StringFlag{Name: "key-env", Usage: "take the caller's key from the environment variable `NAME`"},
			&cli.StringFlag{Name: "region", Usage: "the caller's `REGION`"},
			outputFlag(),
		},
		Action: lookUp,
	}
}

// callTimeout bounds one call of the command line client.
const callTimeout = 5 * time.Second
