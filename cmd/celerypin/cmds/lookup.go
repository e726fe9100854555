package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/transport/caller"
	"celerypin.example/celerypin/pkg/state/id"
)

func lookupCommand() *cli.Command {
	return &cli.Command{
		Name:  "lookup",
		Usage: "look up the hosts that a caller should use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "connect to the host at `ADDRESS` (HOST:PORT)", Value: "127.0.0.1:8101", Sources: cli.EnvVars("CELERYPIN_HOST")},
			&cli.StringFlag{Name: "key-env", Usage: "read the caller's key from the environment variable `NAME`"},
			&cli.StringFlag{Name: "region", Usage: "`REGION` of the caller"},
			outputFlag(),
		},
		Action: lookUp,
	}
}

// callTimeout limits one call to a host.
const callTimeout = 5 * time.Second

func lookUp(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := caller.LookUp(ctx, caller.LookupRequest{
		Address: c.String("host"), Key: os.Getenv(c.String("key-env")), Region: id.Region(c.String("region")),
	})
	if err != nil {
		return err
	}
	return printerOf(c).print(answer, func() [][]string {
		rows := [][]string{{"HOST", "REGION", "ADDRESS", "KEEP MS"}}
		for _, h := range answer.Hosts {
			rows = append(rows, []string{string(h.Host), string(h.Region), h.Address, fmt.Sprint(answer.TTLMS)})
		}
		return rows
	})
}
