package cmds

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/loadmodel"
	"celerypin.example/celerypin/pkg/coordination/hedge"
)

// maxRuns is the maximum of --runs.
const maxRuns = 200

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "simulate a load pattern under several policies, without a network",
		Description: "Runs the hosts' decision code on a simulated clock and prints what callers\n" +
			"observed. Equal seeds give equal results; without --seed they are drawn and printed.\n\n" +
			"Patterns: " + joinNames(loadmodel.AllPatterns(), func(p loadmodel.Pattern) string { return p.Name }) + ".\n" +
			"Policies: " + joinNames(loadmodel.Policies(), func(p loadmodel.NamedPolicy) string { return p.Name }) + ".\n\n" +
			"Example: celerypin experiment --pattern burst --policy default --policy four_candidates --runs 5\n" +
			"Example: celerypin experiment --pattern heavy_runs --hedge-fraction 0 --hedge-fraction 0.02 --plot hedging.svg",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "pattern", Usage: "simulate the load `PATTERN`", Value: "calm"},
			&cli.StringSliceFlag{Name: "policy", Usage: "include `POLICY` in the comparison; may be repeated", Value: []string{"default", "four_candidates"}},
			&cli.StringSliceFlag{
				Name: hedgeFractionFlag, Usage: "compare bounds of hedged requests under the first policy, instead of policies: a fraction `F`, 0 to 0.1; may be repeated",
			},
			&cli.IntFlag{Name: "runs", Usage: "simulate `N` runs of each policy", Value: 5, Validator: validateRuns},
			&cli.Uint64Flag{Name: "seed", Usage: "use `N` as the first seed; each run adds one"},
			&cli.StringFlag{Name: "output", Usage: "print the result in `FORMAT`: text or json", Value: "text", Validator: oneOf("text", "json")},
			&cli.StringFlag{Name: "plot", Usage: "write a plot in SVG format to `FILE`"},
		},
		Action: runExperiment,
	}
}

func joinNames[T any](list []T, name func(T) string) string {
	var out []string
	for _, item := range list {
		out = append(out, name(item))
	}
	return strings.Join(out, ", ")
}

func validateRuns(n int) error {
	if n < 1 || n > maxRuns {
		return fmt.Errorf("%w: --runs: must be from 1 to %d, got %d", ErrUsage, maxRuns, n)
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
	firstSeed := c.Uint64("seed")
	if !c.IsSet("seed") {
		firstSeed = randomSeed()
	}
	for i := range c.Int("runs") {
		e.Seeds = append(e.Seeds, firstSeed+uint64(i))
	}
	if c.IsSet(hedgeFractionFlag) {
		return runHedgeExperiment(c, e)
	}
	return writeComparison(c, e.Run())
}

// comparison is the result of an experiment.
type comparison interface {
	WriteText(io.Writer) error
	WriteJSON(io.Writer) error
	WriteSVG(io.Writer) error
}

// runHedgeExperiment compares bounds of hedged requests.
func runHedgeExperiment(c *cli.Command, e loadmodel.Experiment) error {
	h := loadmodel.HedgeExperiment{Pattern: e.Pattern, Policy: e.Policies[0], Seeds: e.Seeds}
	for _, text := range c.StringSlice(hedgeFractionFlag) {
		f, err := strconv.ParseFloat(text, 64)
		if err == nil {
			err = hedge.Fraction(f).Validate()
		}
		if err != nil {
			return exitWith(ExitUsage, fmt.Errorf("--%s: %w", hedgeFractionFlag, err))
		}
		h.Fractions = append(h.Fractions, hedge.Fraction(f))
	}
	return writeComparison(c, h.Run())
}

// writeComparison writes the result in the format that the flags select, and its plot.
func writeComparison(c *cli.Command, comparison comparison) error {
	if path := c.String("plot"); path != "" {
		if err := writeFile(path, comparison.WriteSVG); err != nil {
			return err
		}
	}
	if c.String("output") == "json" {
		return comparison.WriteJSON(c.Root().Writer)
	}
	return comparison.WriteText(c.Root().Writer)
}

// randomSeed returns a random seed that is short enough to type.
func randomSeed() uint64 {
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
