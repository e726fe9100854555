package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

const (
	thinkTime = 40 * time.Millisecond
	deadline  = 2500 * time.Millisecond
	// directoryKeep is how long callers use an answer of the directory.
	directoryKeep = time.Second
	callerRetries = 1
	objects       = 60
	bookingSize   = 2000
)

// caller is one client with kept connections.
type caller struct {
	soak   *soak
	rng    *rand.Rand
	n      int
	count  int
	client *http.Client
	domain id.FailureDomain
	// fronts are the hosts that the directory named, at resolved.
	fronts   []string
	resolved time.Time
}

func newCaller(s *soak, n int) *caller {
	reg, dom := n%regions, n/regions%domainsOfRegion
	return &caller{
		soak: s, n: n, rng: rand.New(rand.NewPCG(s.Seed, uint64(n)+10)), domain: domainOf(reg, dom),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.resolve(ctx)
		if len(c.fronts) > 0 {
			c.request(ctx)
		}
		pause(ctx, time.Duration(c.rng.ExpFloat64()*float64(thinkTime)))
	}
}

// resolve asks for hosts to use, nearest first, when the last answer is old.
func (c *caller) resolve(ctx context.Context) {
	if time.Since(c.resolved) < directoryKeep {
		return
	}
	hosts := slices.Clone(c.soak.hosts)
	slices.SortStableFunc(hosts, func(a, b *host) int { return c.distance(a) - c.distance(b) })
	q := platform.DirectoryQuery{VirtualHost: virtualHost, Region: c.soak.regions[c.domain], FailureDomain: c.domain}
	const tries = 3
	for _, h := range hosts[:min(tries, len(hosts))] {
		asking, cancel := context.WithTimeout(ctx, time.Second)
		fronts, err := standin.Resolve(asking, c.client, h.settings.Directory, q)
		cancel()
		if err == nil && len(fronts) > 0 {
			c.fronts, c.resolved = fronts, time.Now()
			return
		}
	}
}

func (c *caller) distance(h *host) int {
	switch {
	case h.settings.Host.FailureDomain == c.domain:
		return 0
	case h.settings.Host.Region == c.soak.regions[c.domain]:
		return 1
	default:
		return 2
	}
}

// request is one request with its retries, each of which is another attempt.
func (c *caller) request(ctx context.Context) {
	began := time.Now()
	who := accountOf(c.rng.IntN(accounts))
	call := standin.Call{VirtualHost: virtualHost, Key: keyOf(who), Object: id.Object(fmt.Sprint(c.rng.IntN(objects)))}
	if c.rng.IntN(4) == 0 {
		call.Key = spareKey(who)
	}
	call.Method, call.Path = http.MethodGet, readPrefix+string(call.Object)
	repeatable := c.rng.IntN(3) > 0
	if !repeatable {
		call.Method, call.Path, call.Body = http.MethodPost, bookPrefix+string(call.Object), c.body()
	}
	for try := 0; try <= callerRetries && ctx.Err() == nil; try++ {
		c.count++
		call.Attempt = id.Attempt(fmt.Sprintf("%d-%d-%d", c.soak.Seed, c.n, c.count))
		call.Remaining = deadline - time.Since(began)
		if call.Remaining < 50*time.Millisecond {
			return
		}
		front := c.fronts[c.rng.IntN(len(c.fronts))]
		c.soak.record.sent(call, who, repeatable)
		sentAt := time.Now()
		answer, err := standin.Do(ctx, c.client, front, call)
		if ctx.Err() != nil {
			c.soak.record.forget(call.Attempt)
			return
		}
		c.soak.record.answered(call, front, sentAt, answer, err)
		refusedDial := errors.Is(err, syscall.ECONNREFUSED)
		if err == nil && !answer.NotRun && answer.Status < http.StatusInternalServerError {
			return
		}
		if !repeatable && !answer.NotRun && !refusedDial {
			return
		}
		if err != nil {
			c.fronts = slices.DeleteFunc(slices.Clone(c.fronts), func(f string) bool { return f == front })
			if len(c.fronts) == 0 {
				c.resolved = time.Time{}
				return
			}
		}
		pause(ctx, min(answer.RetryAfter, call.Remaining/3))
	}
}

func (c *caller) body() []byte {
	body := make([]byte, bookingSize)
	for i := range body {
		body[i] = byte('a' + c.rng.IntN(26))
	}
	return body
}
