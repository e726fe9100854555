package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show the log lines of all hosts about a request or a usage window",
		Description: "Reads the log files of any number of hosts and prints, in order of time, the\n" +
			"lines of one request and what its hosts learned in the seconds before.\n" +
			"With --events, prints the time line of all hosts without requests. With --window,\n" +
			"prints what became of a usage window, and what may explain that it is missing.\n\n" +
			"Example: celerypin explain 3789faa34162d1da edge-1.log edge-2.log",
		ArgsUsage: "ID FILE...",
		Flags: []cli.Flag{&cli.BoolFlag{Name: eventsFlag, Usage: "print the time line of all events; takes FILE arguments only"},
			&cli.Int64Flag{Name: windowFlag, Usage: "print the lines about the usage window `N`; takes FILE arguments only"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool(eventsFlag) {
				return explainEvents(c, c.Args().Slice())
			}
			if c.IsSet(windowFlag) {
				return explainWindow(c, c.Int64(windowFlag), c.Args().Slice())
			}
			if c.Args().Len() < 2 {
				return fmt.Errorf("%w: expected a request ID and at least one log FILE", ErrUsage)
			}
			return explainRequest(c, c.Args().First(), c.Args().Tail())
		},
	}
}

const (
	eventsFlag = "events"
	windowFlag = "window"
)

func explainWindow(c *cli.Command, window int64, files []string) error {
	if len(files) == 0 {
		return fmt.Errorf("%w: expected at least one log FILE", ErrUsage)
	}
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	found, err := explain.Window(lines, window)
	if err != nil {
		return err
	}
	return explain.Write(c.Root().Writer, found)
}

func explainEvents(c *cli.Command, files []string) error {
	if len(files) == 0 {
		return fmt.Errorf("%w: expected at least one log FILE", ErrUsage)
	}
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	return explain.Write(c.Root().Writer, explain.Events(lines))
}

func readLogs(files []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func explainRequest(c *cli.Command, id string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	found, err := explain.Request(lines, id)
	if err != nil {
		return err
	}
	return explain.Write(c.Root().Writer, found)
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines, err := explain.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}
