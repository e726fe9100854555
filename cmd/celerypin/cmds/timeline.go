package cmds

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	protocol "celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/timeline"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all hosts on one time line",
		Description: "Asks the host given by --host for the list of hosts and merges the events that each of them keeps.\n\n" +
			"Example: celerypin timeline --kind budget_moved",
		Flags: operatorFlags(
			&cli.StringSliceFlag{Name: "kind", Usage: "show only events of `KIND`; may be repeated"},
			&cli.StringFlag{Name: "subject", Usage: "show only events whose subject contains `TEXT`"},
		),
		Action: showTimeline,
	}
}

func showTimeline(ctx context.Context, c *cli.Command) error {
	hosts, err := operator.Get[protocol.HostList](ctx, clientOf(c), protocol.HostsPath)
	if err != nil {
		return err
	}
	var lists [][]timeline.Event
	var errs []error
	for _, h := range hosts.Hosts {
		list, err := fetchEvents(ctx, h.Address, c.String("token"))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		lists = append(lists, list)
	}
	events := filterEvents(timeline.Merge(lists...), c.StringSlice("kind"), c.String("subject"))
	err = printerOf(c).print(events, func() [][]string { return eventRows(events) })
	return errors.Join(append(errs, err)...)
}

func fetchEvents(ctx context.Context, address, token string) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := operator.Get[protocol.Timeline](ctx, operator.NewClient(address, token), protocol.TimelinePath)
	return list.Events, err
}

func filterEvents(events []timeline.Event, kinds []string, subject string) []timeline.Event {
	out := []timeline.Event{}
	for _, e := range events {
		matches := len(kinds) == 0
		for _, k := range kinds {
			matches = matches || string(e.Kind) == k
		}
		if matches && strings.Contains(e.Subject, subject) {
			out = append(out, e)
		}
	}
	return out
}

func eventRows(events []timeline.Event) [][]string {
	rows := [][]string{{"TIME", "HOST", "EVENT", "SUBJECT", "REASON"}}
	for _, e := range events {
		rows = append(rows, []string{e.Time.Format(time.StampMilli), string(e.Host), string(e.Kind), e.Subject, e.Reason})
	}
	return rows
}
