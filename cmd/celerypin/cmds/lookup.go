package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/transport/caller"
	"celerypin.example/celerypin/pkg/state/id"
)

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
