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
		return &cli.StringFlag{Name: "service", Usage: "the `SERVICE` whose upstreams have the release", Required: true}
	}
	return &cli.Command{
		Name:  "version",
		Usage: "move a service's traffic to a new release of its upstreams, or take one back",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "begin to move traffic to a new release", Action: versionStart,
				Description: "The new release starts with 1 % and grows in committed steps; a bad one is taken back by itself.\n\n" +
					"Example: celerypin version start --service rota-viewer --old v1 --new v2 --deadline 30m",
				Flags: operatorFlags(service(),
					&cli.StringFlag{Name: "old", Usage: "the `RELEASE` that carries the traffic, needed for the first change only"},
					&cli.StringFlag{Name: "new", Usage: "the new `RELEASE`", Required: true},
					&cli.DurationFlag{Name: "deadline", Usage: "the `DURATION` in which a good release should carry the traffic", Required: true},
				),
			},
			{Name: "status", Usage: "show the changes of release", Flags: operatorFlags(), Action: versionStatus},
			{
				Name: "retreat", Usage: "take a release back at once", Action: versionRetreat,
				Description: "It works while the platform is out, too. A release that was taken back never returns.\n" +
					"Exit status 5: not in force on all hosts, or not recorded yet.",
				Flags: operatorFlags(service(), &cli.StringFlag{Name: "release", Usage: "the `RELEASE` to take back", Required: true}),
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
		return operatorStatus(err)
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
	w, err := operator.Send[protocol.ReleaseRetreat, protocol.ReleaseRetreated](ctx, clientOf(c), http.MethodPost, protocol.RetreatPath, request)
	if err != nil {
		return operatorStatus(err)
	}
	err = printerOf(c).print(w, func() [][]string {
		return [][]string{
			{"IN FORCE ON", "NOT YET ON", "RECORDED"},
			{names(w.InForce), names(w.Missing), fmt.Sprint(w.Recorded)},
		}
	})
	return partial(err, len(w.Missing) > 0 || !w.Recorded)
}
