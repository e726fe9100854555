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
	"celerypin.example/celerypin/pkg/state/table"
)

func shiftCommand() *cli.Command {
	from := func() cli.Flag {
		return &cli.StringFlag{Name: "from", Usage: "`REGION` whose callers are moved", Required: true}
	}
	return &cli.Command{
		Name:  "shift",
		Usage: "move callers from one region to another, within a cap",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "start a shift", Action: shiftStart,
				Description: "Shares are thousandths of the callers of the region given by --from.\n\n" +
					"Example: celerypin shift start --from central --to western --target 500 --cap 50 --interval 1m",
				Flags: operatorFlags(from(),
					&cli.StringFlag{Name: "to", Usage: "`REGION` to move callers to", Required: true},
					&cli.Int64Flag{Name: "target", Usage: "total share of callers to move, in `THOUSANDTHS`", Required: true},
					&cli.Int64Flag{Name: "cap", Usage: "maximum share of callers to move per interval, in `THOUSANDTHS`", Required: true},
					&cli.DurationFlag{Name: "interval", Usage: "`DURATION` of an interval, such as 1m", Required: true},
				),
			},
			{Name: "status", Usage: "show the shifts and their states", Flags: operatorFlags(), Action: shiftStatus},
			{Name: "undo", Usage: "undo a shift, within the same cap", Flags: operatorFlags(from()), Action: shiftUndo},
		},
	}
}

func shiftStart(ctx context.Context, c *cli.Command) error {
	return sendShift(ctx, c, protocol.ShiftsPath, protocol.ShiftStart{
		From: id.Region(c.String("from")), To: id.Region(c.String("to")),
		Target: table.Milli(c.Int64("target")), Cap: table.Milli(c.Int64("cap")), Interval: config.Duration(c.Duration("interval")),
	})
}

func shiftUndo(ctx context.Context, c *cli.Command) error {
	return sendShift(ctx, c, protocol.UndoPath, protocol.ShiftUndo{From: id.Region(c.String("from"))})
}

// sendShift sends a request of type In and prints the resulting shift.
func sendShift[In any](ctx context.Context, c *cli.Command, path string, in In) error {
	entry, err := operator.Send[In, protocol.ShiftEntry](ctx, clientOf(c), http.MethodPost, path, in)
	if err != nil {
		return withConflictStatus(err)
	}
	return printerOf(c).print(entry, func() [][]string { return shiftRows([]protocol.ShiftEntry{entry}) })
}

func shiftStatus(ctx context.Context, c *cli.Command) error {
	list, err := operator.Get[protocol.ShiftList](ctx, clientOf(c), protocol.ShiftsPath)
	if err != nil {
		return err
	}
	return printerOf(c).print(list, func() [][]string { return shiftRows(list.Shifts) })
}

func shiftRows(entries []protocol.ShiftEntry) [][]string {
	rows := [][]string{{"FROM", "TO", "MOVED", "TARGET", "CAP", "INTERVAL", "STATE"}}
	for _, e := range entries {
		s := e.Shift
		rows = append(rows, []string{
			string(s.From), string(s.To), formatPercent(s.Moved), formatPercent(s.Target), formatPercent(s.Cap), time.Duration(s.Interval).String(), string(s.State),
		})
	}
	return rows
}

func formatPercent(m table.Milli) string { return fmt.Sprintf("%.1f %%", float64(m)/10) }
