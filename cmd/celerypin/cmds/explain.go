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
		Usage: "show what the logs of all hosts say about a request",
		Description: "Reads log files of any number of hosts and prints, in the order of time, the\n" +
			"lines of one request and what its hosts learned in the seconds before.\n\n" +
			"Example: celerypin explain 3789faa34162d1da edge-1.log edge-2.log",
		ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return fmt.Errorf("%w: want the id of a request and one log file or more", ErrUsage)
			}
			return explainRequest(c, c.Args().First(), c.Args().Tail())
		},
	}
}

func explainRequest(c *cli.Command, id string, files []string) error {
	var lines []explain.Line
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
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
