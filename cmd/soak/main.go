// Command soak runs celerypin as separate processes, injects faults, and checks
// celerypin's promises by what callers and upstreams observed.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/soak"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes, inject faults and check the promises by what callers and upstreams observed",
		Description: "Each run derives its schedule of faults from its seed. Logs of failed runs are kept.\n" +
			"Exit status 1: a promise was broken, or a run could not be completed.\n\n" +
			"Example: soak --program target/celerypin --seed 7 --for 20s",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "run the celerypin binary at `PATH`", Value: "target/celerypin"},
			&cli.Uint64Flag{Name: "seed", Usage: "use `N` as the first seed; drawn and printed if not given"},
			&cli.IntFlag{Name: "runs", Usage: "run `N` times, each with the next seed", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "inject faults for `DURATION` in each run", Value: 20 * time.Second},
			&cli.IntFlag{Name: "hosts", Usage: "run `N` hosts in each of six failure domains", Value: 1},
			&cli.IntFlag{Name: "upstreams", Usage: "run `N` upstreams of each service in each failure domain", Value: 2},
			&cli.IntFlag{Name: "callers", Usage: "send requests from `N` callers", Value: 24},
			&cli.BoolFlag{Name: "restore-store", Usage: "also let the store come back from an older copy; changes the schedules of seeds"},
			&cli.StringFlag{Name: "logs", Usage: "write the logs of processes below `DIRECTORY`", Value: filepath.Join(os.TempDir(), "celerypin-soak")},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	firstSeed := c.Uint64("seed")
	if !c.IsSet("seed") {
		var b [4]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		firstSeed = uint64(binary.BigEndian.Uint32(b[:]))
	}
	var failures error
	for i := range c.Int("runs") {
		seed := firstSeed + uint64(i)
		logs := filepath.Join(c.String("logs"), fmt.Sprint(seed))
		report, err := soak.Run(ctx, soak.Options{
			Program: c.String("program"), Seed: seed, Duration: c.Duration("for"), HostsPerDomain: c.Int("hosts"),
			UpstreamsPerDomain: c.Int("upstreams"), Callers: c.Int("callers"), Logs: logs, Progress: os.Stderr,
			RestoreStore: c.Bool("restore-store"),
		})
		if report != nil {
			report.Write(os.Stdout)
		}
		if err != nil {
			failures = errors.Join(failures, fmt.Errorf("%w; logs in %s", err, logs))
			continue
		}
		if err := os.RemoveAll(logs); err != nil {
			return err
		}
	}
	return failures
}
