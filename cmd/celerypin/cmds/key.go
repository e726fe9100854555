package cmds

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	protocol "celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/id"
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "grant, withdraw and list callers' keys",
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "grant the key on standard input to an account", Action: keyGrant,
				Description: "Example: printf %s \"$KEY\" | celerypin key grant --account lagoon-parish",
				Flags:       operatorFlags(&cli.StringFlag{Name: "account", Usage: "the client `ACCOUNT`", Required: true}),
			},
			{
				Name: "withdraw", Usage: "withdraw a key: the one on standard input, or the one that --hash names", Action: keyWithdraw,
				Description: "It works while the platform is out, too; the answer tells on which hosts it is in force.\n" +
					"Exit status 5: not in force on all hosts, or not recorded yet.",
				Flags: operatorFlags(&cli.StringFlag{Name: "hash", Usage: "the `HASH` as key list shows it"}),
			},
			{Name: "list", Usage: "list keys by their hashes", Flags: operatorFlags(), Action: keyList},
		},
	}
}

// readKey reads a key from standard input, so that it never stands in a
// command line.
func readKey(c *cli.Command) (string, error) {
	line, err := bufio.NewReader(c.Root().Reader).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return "", fmt.Errorf("%w: want a key on standard input, got nothing (%w)", ErrUsage, err)
	}
	return key, nil
}

func keyGrant(ctx context.Context, c *cli.Command) error {
	key, err := readKey(c)
	if err != nil {
		return err
	}
	grant := protocol.KeyGrant{Account: id.Account(c.String("account")), Key: key}
	granted, err := operator.Send[protocol.KeyGrant, protocol.KeyGranted](ctx, clientOf(c), http.MethodPost, protocol.KeysPath, grant)
	if err != nil {
		return operatorStatus(err)
	}
	return printerOf(c).print(granted, func() [][]string {
		return [][]string{{"HASH", "ACCOUNT", "REVISION"}, {granted.Hash, string(granted.Account), fmt.Sprint(granted.Revision)}}
	})
}

func keyWithdraw(ctx context.Context, c *cli.Command) error {
	request := protocol.KeyWithdraw{Hash: c.String("hash")}
	if request.Hash == "" {
		key, err := readKey(c)
		if err != nil {
			return err
		}
		request.Key = key
	}
	w, err := operator.Send[protocol.KeyWithdraw, protocol.KeyWithdrawn](ctx, clientOf(c), http.MethodPost, protocol.WithdrawPath, request)
	if err != nil {
		return operatorStatus(err)
	}
	err = printerOf(c).print(w, func() [][]string {
		total := len(w.InForce) + len(w.Missing)
		return [][]string{
			{"HASH", "IN FORCE ON", "NOT YET ON", "RECORDED"},
			{w.Hash, fmt.Sprintf("%d of %d", len(w.InForce), total), names(w.Missing), fmt.Sprint(w.Recorded)},
		}
	})
	return partial(err, len(w.Missing) > 0 || !w.Recorded)
}

func keyList(ctx context.Context, c *cli.Command) error {
	list, err := operator.Get[protocol.KeyList](ctx, clientOf(c), protocol.KeysPath)
	if err != nil {
		return err
	}
	return printerOf(c).print(list, func() [][]string {
		rows := [][]string{{"HASH", "ACCOUNT", "WITHDRAWN"}}
		for _, k := range list.Keys {
			rows = append(rows, []string{k.Hash, string(k.Account), fmt.Sprint(k.Withdrawn)})
		}
		return rows
	})
}
