package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"celerypin.example/celerypin/internal/protocol/where"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/id"
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "show where a request would go now, and why",
		Description: "Asks a running host on the platform, at its metrics address, where it would send a\n" +
			"request and what excludes the other upstreams. Nothing is sent to an upstream, and no\n" +
			"token, slot or statistic changes. The account is named instead of a key.\n\n" +
			"Example: celerypin where --metrics 127.0.0.1:9102 --vhost a.example --path /look/7 --object 7",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics", Usage: "ask the host with the metrics address `ADDRESS` (HOST:PORT)", Required: true},
			&cli.StringFlag{Name: "vhost", Usage: "virtual `HOST` of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Required: true},
			&cli.StringFlag{Name: "account", Usage: "`ACCOUNT` of the request; without it, the request has no known key"},
			&cli.StringFlag{Name: "object", Usage: "`OBJECT` that the request is about"},
			&cli.Int64Flag{Name: "body-bytes", Usage: "size of the request's body, `N` bytes"},
			&cli.BoolFlag{Name: "json", Usage: "print the answer in JSON"},
		},
		Action: showWhere,
	}
}

func showWhere(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := where.Encode(steer.Inquiry{
		VirtualHost: c.String("vhost"), Path: c.String("path"), Account: id.Account(c.String("account")),
		Object: id.Object(c.String("object")), BodyBytes: c.Int64("body-bytes"),
	})
	answer, err := operator.Get[where.Answer](ctx, operator.NewClient(c.String("metrics"), ""), path)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printer{json: true, out: c.Root().Writer}.print(answer, nil)
	}
	return writeWhere(c.Root().Writer, &answer)
}

// writeWhere writes an answer as text.
func writeWhere(w io.Writer, a *where.Answer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host %s, desired state %d\n", a.Host, a.Version)
	fmt.Fprintf(&b, "route: %s\n", orNone(string(a.Route)))
	fmt.Fprintf(&b, "account: %s\n", orNone(string(a.Account)))
	if q := a.Quota; q != nil {
		fmt.Fprintf(&b, "quota: %s\n", quotaText(q))
	}
	if a.Refusal != nil {
		fmt.Fprintf(&b, "%s\n", refusalText(a.Refusal))
	}
	for i := range a.Services {
		s := &a.Services[i]
		fmt.Fprintf(&b, "\nservice: %s, %.0f %% of the route's requests, release %s, local share %.3f\n", orNone(string(s.Service)), s.Share*100, orNone(string(s.Release)), s.LocalShare)
		if s.Refusal != nil {
			fmt.Fprintf(&b, "%s\n", refusalText(s.Refusal))
		} else {
			fmt.Fprintf(&b, "goes to: %s\n", s.Chosen)
		}
		if len(s.Upstreams) == 0 {
			continue
		}
		table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		for _, row := range upstreamRows(s.Upstreams) {
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
		if err := table.Flush(); err != nil {
			return err
		}
		if s.Omitted > 0 {
			fmt.Fprintf(&b, "and %d more that were not compared\n", s.Omitted)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func quotaText(q *where.Quota) string {
	share := fmt.Sprintf("%g of %g requests available, %g a second", q.Available, q.Burst, q.Rate)
	switch q.State {
	case where.QuotaUnlimited, where.QuotaUnknown:
		return string(q.State)
	case where.QuotaPool:
		return fmt.Sprintf("%s, admitted only if %s grants a token (%s)", q.State, q.Pool, share)
	}
	return fmt.Sprintf("%s (%s)", q.State, share)
}

func refusalText(r *where.Refusal) string {
	text := fmt.Sprintf("outcome: %s, reason %s", r.Outcome, r.Reason)
	if r.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after about %g ms", r.RetryAfterMS)
	}
	return text
}

func upstreamRows(upstreams []where.Upstream) [][]string {
	rows := [][]string{{"UPSTREAM", "REGION", "DOMAIN", "RELEASE", "RANK", "EXPECTED MS", "WAIT", "WORK", "ROUND TRIP", "LOAD", "SLOTS", "AGE MS", "PACE", "KNOWN", "COLD", "EXCLUDED BY"}}
	for i := range upstreams {
		u := &upstreams[i]
		rank, excluded := "-", string(u.Excluded)
		if u.Rank >= 0 {
			rank = fmt.Sprint(u.Rank)
		}
		if u.Excluded == place.ExcludedBackoff {
			excluded += fmt.Sprintf(" for %g ms", u.BackoffMS)
		}
		rows = append(rows, []string{
			string(u.Upstream), string(u.Region), string(u.FailureDomain), string(u.Release), rank,
			orDash(u.ExpectedMS), orDash(u.WaitMS), orDash(u.WorkMS), orDash(u.RoundTrip),
			fmt.Sprint(u.Load), fmt.Sprint(u.Slots), orDash(u.LoadAgeMS), fmt.Sprint(u.Pace), fmt.Sprint(u.Known), fmt.Sprint(u.Cold), orNone(excluded),
		})
	}
	return rows
}

// orNone returns s, or "none" if it is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// orDash returns a number as text, or "-" if there is none.
func orDash(x *float64) string {
	if x == nil {
		return "-"
	}
	return fmt.Sprint(*x)
}
