package cmds

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/loadmodel"
)

// mostRuns bounds the runs of one experiment.
const mostRuns = 200

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "play a pattern of load under several policies, without a network",
		Description: "Plays the decisions' own code on a clock of its own and prints what the\n" +
			"callers saw. Equal seeds give equal results; without --seed they are drawn and printed.\n\n" +
			"Patterns: " + namesOf(loadmodel.Patterns(), func(p loadmodel.Pattern) string { return p.Name }) + ".\n" +
			"Policies: " + namesOf(loadmodel.Policies(), func(p loadmodel.NamedPolicy) string { return p.Name }) + ".\n\n" +
			"Example: celerypin experiment --pattern burst --policy default --policy four_candidates --runs 5",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "pattern", Usage: "play the `PATTERN`", Value: "calm"},
			&cli.StringSliceFlag{Name: "policy", Usage: "compare the `POLICY`; may be given several times", Value: []string{"default", "four_candidates"}},
			&cli.IntFlag{Name: "runs", Usage: "play `N` runs of each policy", Value: 5, Validator: experimentRuns},
			&cli.Uint64Flag{Name: "seed", Usage: "begin with the seed `N`; each run adds one"},
			&cli.StringFlag{Name: "output", Usage: "print as `FORMAT`: text or json", Value: "text", Validator: oneOf("text", "json")},
			&cli.StringFlag{Name: "plot", Usage: "write a plot as SVG to `FILE`"},
		},
		Action: runExperiment,
	}
}

func namesOf[T any](list []T, name func(T) string) string {
	var out []string
	for _, item := range list {
		out = append(out, name(item))
	}
	return strings.Join(out, ", ")
}

func experimentRuns(n int) error {
	if n < 1 || n > mostRuns {
		return fmt.Errorf("%w: --runs: want 1 to %d, got %d", ErrUsage, mostRuns, n)
	}
	return nil
}

func runExperiment(_ context.Context, c *cli.Command) error {
	pattern, err := loadmodel.PatternByName(c.String("pattern"))
	if err != nil {
		return exitWith(ExitUsage, fmt.Errorf("--pattern: %w", err))
	}
	e := loadmodel.Experiment{Pattern: pattern}
	for _, name := range c.StringSlice("policy") {
		policy, err := loadmodel.PolicyByName(name)
		if err != nil {
			return exitWith(ExitUsage, fmt.Errorf("--policy: %w", err))
		}
		e.Policies = append(e.Policies, policy)
	}
	first := c.Uint64("seed")
	if !c.IsSet("seed") {
		first = drawSeed()
	}
	for i := range c.Int("runs") {
		e.Seeds = append(e.Seeds, first+uint64(i))
	}
	outcome := e.Run()
	if path := c.String("plot"); path != "" {
		if err := writeFile(path, outcome.WriteSVG); err != nil {
			return err
		}
	}
	if c.String("output") == "json" {
		return outcome.WriteJSON(c.Root().Writer)
	}
	return outcome.WriteText(c.Root().Writer)
}

// drawSeed returns a seed that is short enough to be typed.
func drawSeed() uint64 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return uint64(binary.BigEndian.Uint32(b[:]))
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
