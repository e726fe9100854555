package cmds

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	protocol "celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

func versionCommand() *cli.Command {
	service := func() cli.Flag {
		return &cli.StringFlag{Name: "service", Usage: "`SERVICE` whose upstreams run the release", Required: true}
	}
	return &cli.Command{
		Name:  "version",
		Usage: "roll out a new release of a service's upstreams, or take one back",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "start a rollout of a new release", Action: versionStart,
				Description: "The new release starts with 1 % of the traffic and grows in committed steps; a bad one is taken back automatically.\n\n" +
					"Example: celerypin version start --service viewer --old v1 --new v2 --deadline 30m",
				Flags: operatorFlags(service(),
					&cli.StringFlag{Name: "old", Usage: "`RELEASE` that carries the traffic; required for the first rollout only"},
					&cli.StringFlag{Name: "new", Usage: "new `RELEASE` to roll out", Required: true},
					&cli.DurationFlag{Name: "deadline", Usage: "`DURATION` within which a good release should carry the traffic, such as 30m", Required: true},
				),
			},
			{Name: "status", Usage: "show the rollouts of all services", Flags: operatorFlags(), Action: versionStatus},
			{
				Name: "retreat", Usage: "take a release back at once", Action: versionRetreat,
				Description: "Also works while the platform is unavailable. A release that was taken back is never rolled out again.\n" +
					"Exit status 5: not yet in force on all hosts or not yet recorded.",
				Flags: operatorFlags(service(), &cli.StringFlag{Name: "release", Usage: "`RELEASE` to take back", Required: true}),
			},
		},
	}
}

func versionStart(ctx context.Context, c *cli.Command) error {
	start := protocol.ReleaseStart{
		Service: id.Service(c.String("service")), Old: id.Release(c.String("old")), New: id.Release(c.String("new")),
		Deadline: config.Duration(c.Duration("deadline")),
	}
	entry, err := operator.Send[protocol.ReleaseStart, protocol.ReleaseEntry](ctx, clientOf(c), http.MethodPost, protocol.ReleasesPath, start)
	if err != nil {
		return withConflictStatus(err)
	}
	return printerOf(c).print(entry, func() [][]string { return releaseRows([]protocol.ReleaseEntry{entry}) })
}

func versionStatus(ctx context.Context, c *cli.Command) error {
	list, err := operator.Get[protocol.ReleaseList](ctx, clientOf(c), protocol.ReleasesPath)
	if err != nil {
		return err
	}
	return printerOf(c).print(list, func() [][]string { return releaseRows(list.Releases) })
}

func releaseRows(entries []protocol.ReleaseEntry) [][]string {
	rows := [][]string{{"SERVICE", "OLD", "NEW", "SHARE", "STATE", "DEADLINE", "REASON"}}
	for _, e := range entries {
		r := e.Release
		rows = append(rows, []string{
			string(r.Service), string(r.Old), string(r.New), fmt.Sprintf("%.1f %%", float64(r.Share)/10), string(r.State),
			time.Duration(r.Deadline).String(), r.Reason,
		})
	}
	return rows
}

func versionRetreat(ctx context.Context, c *cli.Command) error {
	request := protocol.ReleaseRetreat{Service: id.Service(c.String("service")), Release: id.Release(c.String("release"))}
	retreated, err := operator.Send[protocol.ReleaseRetreat, protocol.ReleaseRetreated](ctx, clientOf(c), http.MethodPost, protocol.RetreatPath, request)
	if err != nil {
		return withConflictStatus(err)
	}
	err = printerOf(c).print(retreated, func() [][]string {
		return [][]string{
			{"IN FORCE ON", "NOT YET ON", "RECORDED"},
			{joinHosts(retreated.InForce), joinHosts(retreated.Missing), fmt.Sprint(retreated.Recorded)},
		}
	})
	return partialError(err, len(retreated.Missing) > 0 || !retreated.Recorded)
}
