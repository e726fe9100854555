// Package caller is a stand-in for callers: it looks up hosts, caches the answers, sends
// reads, swaps and uploads, and records the result of each, independently of the entry
// hosts' own records.
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/protocol/caller"
	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/standin/upstream"
	transport "celerypin.example/celerypin/internal/transport/caller"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	Read   Kind = "read"
	Swap   Kind = "once"
	Upload Kind = "upload"
)

// Result is the outcome of a request as the caller observed it.
type Result string

// Results of a request.
const (
	Served         Result = "served"
	RefusedNotRun  Result = "refused_not_run"
	OutcomeUnknown Result = "outcome_unknown"
	// Unreached means that the last attempt found no host.
	Unreached Result = "unreached"
)

// Record is a caller's record of one request.
type Record struct {
	Account id.Account
	Kind    Kind
	Tag     string
	Request id.Request
	// Start is the scheduled time of the first attempt.
	Start clock.Instant
	// Sent is the start of the last attempt that found a host.
	Sent   clock.Instant
	End    clock.Instant
	Result Result
	// Reason is the last one that a host gave for not returning an upstream's answer.
	Reason admit.Reason
	// Crossed is set if the answer was incomplete or belongs to another request.
	Crossed bool
}

// Profile describes a caller and the load that it sends.
type Profile struct {
	Name    string
	Account id.Account
	Key     string
	Region  id.Region
	// LookupAddresses are the addresses of the hosts that answer look-ups.
	LookupAddresses []string
	// Rate is the number of requests per second.
	Rate float64
	// Paths holds the path prefix of each kind of request.
	Paths map[Kind]string
	// UploadBytes is the minimum size of an upload.
	UploadBytes int
	// SwapFraction and UploadFraction are the fractions of the requests that are swaps
	// and uploads; the rest are reads.
	SwapFraction, UploadFraction float64
}

// Limits of one caller.
const (
	maxOutstanding = 256
	// requestTimeout limits a request with all its attempts.
	requestTimeout = 8 * time.Second
	maxAttempts    = 3
)

// Caller sends requests at the profile's rate, whether or not earlier ones have been
// answered, up to maxOutstanding requests in flight.
type Caller struct {
	profile  Profile
	clock    clock.Clock
	client   *http.Client
	sequence atomic.Uint64

	mu          sync.Mutex
	records     []Record
	hosts       []string
	hostsExpiry clock.Instant
}

// New returns a caller with the given profile.
func New(p Profile, c clock.Clock) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Second, DisableCompression: true}
	return &Caller{profile: p, clock: c, client: &http.Client{Transport: transport}}
}

// Run sends requests until ctx ends, and waits for their answers.
func (c *Caller) Run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxOutstanding)
	next := c.clock.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / c.profile.Rate * float64(time.Second)))
		if !c.clock.Sleep(ctx, next.Sub(c.clock.Now())) {
			break
		}
		slots <- struct{}{}
		due := next
		requests.Go(func() {
			c.sendScheduled(context.WithoutCancel(ctx), due)
			<-slots
		})
	}
	requests.Wait()
}

// Records returns the records of all finished requests.
func (c *Caller) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

func (c *Caller) drawKind() Kind {
	draw := rand.Float64()
	switch {
	case draw < c.profile.SwapFraction:
		return Swap
	case draw < c.profile.SwapFraction+c.profile.UploadFraction:
		return Upload
	default:
		return Read
	}
}

// sendScheduled sends one request. Its latency counts from due, the scheduled time, so
// that waiting before the request is sent counts too.
func (c *Caller) sendScheduled(ctx context.Context, due clock.Instant) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	tag := c.profile.Name + "-" + strconv.FormatUint(c.sequence.Add(1), 10)
	r := Record{Account: c.profile.Account, Kind: c.drawKind(), Tag: tag, Start: due}
	if r.Kind != Read {
		r.Request = id.Request(tag)
	}
	body := c.newBody(r)
	for attempt := range maxAttempts {
		if !c.attempt(ctx, &r, body, attempt) {
			break
		}
	}
	r.End = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

func (c *Caller) newBody(r Record) []byte {
	switch r.Kind {
	case Swap:
		return []byte("once " + r.Tag)
	case Upload:
		return bytes.Repeat([]byte(r.Tag+"\n"), c.profile.UploadBytes/(len(r.Tag)+1)+1)
	default:
		return nil
	}
}

// attempt sends the request to the host at the attempt's position in the look-up's
// answer, and reports whether another host should be tried.
func (c *Caller) attempt(ctx context.Context, r *Record, body []byte, attempt int) bool {
	address, ok := c.hostAddress(ctx, attempt)
	if !ok {
		r.Result = Unreached
		return true
	}
	r.Sent = c.clock.Now()
	response, err := c.send(ctx, address, r, body)
	if err != nil {
		c.invalidateLookup()
		r.Result = OutcomeUnknown
		return true
	}
	defer response.Body.Close()
	return c.classify(r, response, body)
}

func (c *Caller) send(ctx context.Context, address string, r *Record, body []byte) (*http.Response, error) {
	method := http.MethodGet
	var reader io.Reader
	if body != nil {
		method, reader = http.MethodPost, bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.profile.Paths[r.Kind]+r.Tag, reader)
	if err != nil {
		return nil, err
	}
	// Without GetBody the client cannot resend a body by itself.
	request.GetBody = nil
	request.Header.Set(caller.KeyHeader, "Bearer "+c.profile.Key)
	request.Header.Set(upstream.EchoHeader, r.Tag)
	if r.Request != "" {
		request.Header.Set(caller.RequestIDHeader, string(r.Request))
	}
	return c.client.Do(request)
}

// classify sets the result of an answered request, and reports whether another host
// should be tried. A refusal does not replace OutcomeUnknown, because an earlier
// attempt may have run.
func (c *Caller) classify(r *Record, response *http.Response, body []byte) bool {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.Result = OutcomeUnknown
		return true
	}
	switch response.Header.Get(caller.OutcomeHeader) {
	case string(admit.NotRun):
		r.Reason = admit.Reason(response.Header.Get(caller.ReasonHeader))
		if r.Result != OutcomeUnknown {
			r.Result = RefusedNotRun
		}
		return r.Reason == admit.WithdrawalsUnknown || r.Reason == admit.ShareLapsed
	case string(admit.OutcomeUnknown):
		r.Reason = admit.Reason(response.Header.Get(caller.ReasonHeader))
		r.Result = OutcomeUnknown
		return r.Reason != admit.AlreadyTaken
	}
	r.Result = Served
	r.Crossed = !c.matches(r, data, body)
	return false
}

// matches reports whether an answer is complete and belongs to the request.
func (c *Caller) matches(r *Record, data, body []byte) bool {
	answer, err := codec.JSON[upstream.Answer]{}.Decode(data)
	if err != nil {
		return false
	}
	sum := sha256.Sum256(body)
	return answer.Tag == r.Tag && answer.Request == r.Request &&
		answer.Bytes == int64(len(body)) && answer.SHA256 == hex.EncodeToString(sum[:])
}

// hostAddress returns the address of the host to use, from the cached answer of a
// look-up or a new one.
func (c *Caller) hostAddress(ctx context.Context, attempt int) (string, bool) {
	c.mu.Lock()
	hosts, fresh := c.hosts, c.clock.Now() < c.hostsExpiry
	c.mu.Unlock()
	if !fresh || len(hosts) == 0 {
		hosts = c.lookUp(ctx)
	}
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[attempt%len(hosts)], true
}

func (c *Caller) lookUp(ctx context.Context) []string {
	first := rand.IntN(len(c.profile.LookupAddresses))
	for i := range c.profile.LookupAddresses {
		answer, err := transport.LookUpWith(ctx, c.client, transport.LookupRequest{
			Address: c.profile.LookupAddresses[(first+i)%len(c.profile.LookupAddresses)],
			Key:     c.profile.Key, Region: c.profile.Region, Client: c.profile.Name,
		})
		if err != nil {
			continue
		}
		hosts := make([]string, 0, len(answer.Hosts))
		for _, h := range answer.Hosts {
			hosts = append(hosts, h.Address)
		}
		c.mu.Lock()
		c.hosts, c.hostsExpiry = hosts, c.clock.Now().Add(time.Duration(answer.TTLMS)*time.Millisecond)
		c.mu.Unlock()
		return hosts
	}
	return nil
}

// invalidateLookup drops the cached answer of a look-up, after a host did not answer.
func (c *Caller) invalidateLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostsExpiry = 0
}

// String returns the names of the caller and of its account.
func (c *Caller) String() string { return fmt.Sprintf("%s (%s)", c.profile.Name, c.profile.Account) }
