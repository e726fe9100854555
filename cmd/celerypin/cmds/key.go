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
				Name: "grant", Usage: "grant a key, read from standard input, to an account", Action: keyGrant,
				Description: "Example: printf %s \"$KEY\" | celerypin key grant --account lagoon-parish",
				Flags:       operatorFlags(&cli.StringFlag{Name: "account", Usage: "grant the key to the client `ACCOUNT`", Required: true}),
			},
			{
				Name: "withdraw", Usage: "withdraw a key, read from standard input or given by --hash", Action: keyWithdraw,
				Description: "Also works while the platform is unavailable; prints the hosts on which the withdrawal is not yet in force.\n" +
					"Exit status 5: not yet in force on all hosts or not yet recorded.",
				Flags: operatorFlags(&cli.StringFlag{Name: "hash", Usage: "withdraw the key with `HASH`, as shown by key list"}),
			},
			{Name: "list", Usage: "list granted and withdrawn keys by hash", Flags: operatorFlags(), Action: keyList},
		},
	}
}

// readKey reads a key from standard input, to keep keys out of command lines.
func readKey(c *cli.Command) (string, error) {
	line, err := bufio.NewReader(c.Root().Reader).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return "", fmt.Errorf("%w: no key on standard input (%w)", ErrUsage, err)
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
		return withConflictStatus(err)
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
	withdrawn, err := operator.Send[protocol.KeyWithdraw, protocol.KeyWithdrawn](ctx, clientOf(c), http.MethodPost, protocol.WithdrawPath, request)
	if err != nil {
		return withConflictStatus(err)
	}
	err = printerOf(c).print(withdrawn, func() [][]string {
		total := len(withdrawn.InForce) + len(withdrawn.Missing)
		return [][]string{
			{"HASH", "IN FORCE ON", "NOT YET ON", "RECORDED"},
			{withdrawn.Hash, fmt.Sprintf("%d of %d", len(withdrawn.InForce), total), joinHosts(withdrawn.Missing), fmt.Sprint(withdrawn.Recorded)},
		}
	})
	return partialError(err, len(withdrawn.Missing) > 0 || !withdrawn.Recorded)
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
