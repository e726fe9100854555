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
	// meanThinkTime is the mean time between an answer and the caller's next request.
	meanThinkTime = 40 * time.Millisecond
	// requestTimeout bounds a request with its retries.
	requestTimeout = 2500 * time.Millisecond
	// maxDirectoryAge is how long callers use an answer of the directory.
	maxDirectoryAge = time.Second
	maxRetries      = 1
	// objects is the number of objects that callers ask for.
	objects      = 60
	bookingBytes = 2000
)

// caller is one client with persistent connections.
type caller struct {
	soak     *soak
	rng      *rand.Rand
	index    int
	attempts int
	client   *http.Client
	domain   id.FailureDomain
	// addresses are those of the hosts that the directory returned at resolvedAt.
	addresses  []string
	resolvedAt time.Time
}

func newCaller(s *soak, index int) *caller {
	region, domain := index%regions, index/regions%domainsPerRegion
	return &caller{
		soak: s, index: index, rng: rand.New(rand.NewPCG(s.Seed, uint64(index)+10)), domain: domainID(region, domain),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.resolve(ctx)
		if len(c.addresses) > 0 {
			c.request(ctx)
		}
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// resolve asks the directories of the nearest hosts for addresses, if the last answer
// is older than maxDirectoryAge.
func (c *caller) resolve(ctx context.Context) {
	if time.Since(c.resolvedAt) < maxDirectoryAge {
		return
	}
	hosts := slices.Clone(c.soak.hosts)
	slices.SortStableFunc(hosts, func(a, b *host) int { return c.distance(a) - c.distance(b) })
	q := platform.DirectoryQuery{VirtualHost: virtualHost, Region: c.soak.regions[c.domain], FailureDomain: c.domain}
	const maxTries = 3
	for _, h := range hosts[:min(maxTries, len(hosts))] {
		resolveCtx, cancel := context.WithTimeout(ctx, time.Second)
		addresses, err := standin.Resolve(resolveCtx, c.client, h.settings.DirectoryAddress, q)
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.resolvedAt = addresses, time.Now()
			return
		}
	}
}

// distance returns 0 for a host in the caller's failure domain, 1 for one in its region
// and 2 for any other.
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

// request sends one request with its retries, each of which is a new attempt.
func (c *caller) request(ctx context.Context) {
	start := time.Now()
	account := accountID(c.rng.IntN(accounts))
	call := standin.Call{VirtualHost: virtualHost, Key: primaryKey(account), Object: id.Object(fmt.Sprint(c.rng.IntN(objects)))}
	if c.rng.IntN(4) == 0 {
		call.Key = spareKey(account)
	}
	call.Method, call.Path = http.MethodGet, readPrefix+string(call.Object)
	idempotent := c.rng.IntN(3) > 0
	if !idempotent {
		call.Method, call.Path, call.Body = http.MethodPost, bookPrefix+string(call.Object), c.body()
	}
	for retry := 0; retry <= maxRetries && ctx.Err() == nil; retry++ {
		c.attempts++
		call.Attempt = id.Attempt(fmt.Sprintf("%d-%d-%d", c.soak.Seed, c.index, c.attempts))
		call.Remaining = requestTimeout - time.Since(start)
		if call.Remaining < 50*time.Millisecond {
			return
		}
		address := c.addresses[c.rng.IntN(len(c.addresses))]
		c.soak.record.attemptSent(call, account, idempotent, address)
		sentAt := time.Now()
		answer, err := standin.Do(ctx, c.client, address, call)
		if ctx.Err() != nil {
			c.soak.record.attemptAborted(call.Attempt)
			return
		}
		c.soak.record.attemptAnswered(call, address, sentAt, answer, err)
		connectionRefused := errors.Is(err, syscall.ECONNREFUSED)
		if err == nil && !answer.NotRun && answer.Status < http.StatusInternalServerError {
			return
		}
		if !idempotent && !answer.NotRun && !connectionRefused {
			return
		}
		if err != nil {
			c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return a == address })
			if len(c.addresses) == 0 {
				c.resolvedAt = time.Time{}
				return
			}
		}
		sleep(ctx, min(answer.RetryAfter, call.Remaining/3))
	}
}

// body returns a random request body.
func (c *caller) body() []byte {
	body := make([]byte, bookingBytes)
	for i := range body {
		body[i] = byte('a' + c.rng.IntN(26))
	}
	return body
}
