package cmds

import (
	"context"
	"fmt"
	"net/http"

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
			{Name: "list", Usage: "list the hosts and their states, as known to one host", Flags: operatorFlags(), Action: hostsList},
			{Name: "budgets", Usage: "show how each account's rate and burst are divided among the hosts", Flags: operatorFlags(), Action: hostsBudgets},
			{
				Name: "attest", Usage: "declare that an incarnation of a host has ended", Action: hostsAttest,
				Description: "While the platform does not answer, hosts serve keyed requests only while all other hosts are in contact,\n" +
					"because a silent host may have accepted a withdrawal. They do not wait for an incarnation declared ended.",
				Flags: operatorFlags(
					&cli.StringFlag{Name: "name", Usage: "name of the `HOST` that has ended", Required: true},
					&cli.Uint64Flag{Name: "incarnation", Usage: "`INCARNATION` of the host, as shown by hosts list --output json", Required: true},
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
					formatTokens(g.Share.Rate), formatTokens(g.Share.Burst), formatTokens(g.Held.Rate), formatTokens(g.Held.Burst),
				})
			}
		}
		return rows
	})
}

func formatTokens(t unit.Tokens) string { return fmt.Sprintf("%.2f", float64(t)/float64(unit.Token)) }

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
